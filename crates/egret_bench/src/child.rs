//! A child process that can be restarted.

use std::{
    fs::{self, File},
    io,
    path::PathBuf,
    process::{Child, Command, Stdio},
};

use rustix::process::{Pid, Signal, kill_process};

/// A child process and the command line to restart it.
#[derive(Debug)]
pub(crate) struct ChildProcess {
    program: PathBuf,
    args: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
}

impl ChildProcess {
    /// Starts a program and appends its output to a log file.
    pub(crate) fn start(program: PathBuf, args: Vec<String>, log: PathBuf) -> io::Result<Self> {
        let mut process = Self { program, args, log, child: None };
        process.restart()?;
        Ok(process)
    }

    /// Restarts the program, and kills it first if it runs.
    pub(crate) fn restart(&mut self) -> io::Result<()> {
        self.kill();
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .args(&self.args)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process with `SIGKILL` and reaps it.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to the process, by its id.
    pub(crate) fn signal(&self, signal: Signal) {
        let id = self.id().and_then(|id| i32::try_from(id).ok());
        if let Some(id) = id.and_then(Pid::from_raw) {
            let _ = kill_process(id, signal);
        }
    }

    /// Returns the exit code, once the process has ended by itself.
    pub(crate) fn exit_code(&mut self) -> Option<i32> {
        self.child.as_mut()?.try_wait().ok()??.code()
    }

    /// Returns the id of the process, unless it was killed.
    pub(crate) fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns the log of all incarnations of the process.
    pub(crate) fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}
