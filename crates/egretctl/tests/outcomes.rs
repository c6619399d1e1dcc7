//! What `egretctl` says of the outcome when entries fail or refuse.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener},
    process::{Command, Output},
    thread,
};

/// What an entry does with a request.
#[derive(Clone, Copy)]
enum Reaction {
    /// It closes the connection after it has read the request.
    Lost,
    Answer {
        status: &'static str,
        body: &'static str,
    },
}

const REFUSED: Reaction = Reaction::Answer {
    status: "400 Bad Request",
    body: r#"{"error":{"code":"bad_request","ran":"not_run","message":"no instance asks"}}"#,
};

/// Starts an entry that reacts to one request.
fn start_entry(reaction: Reaction) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 4_096];
        let _ = stream.read(&mut request);
        if let Reaction::Answer { status, body } = reaction {
            let length = body.len();
            let head = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n");
            let _ = stream.write_all((head + body).as_bytes());
        }
    });
    address
}

fn egretctl(reactions: &[Reaction], arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_egretctl"));
    for reaction in reactions {
        command.args(["--entry", &start_entry(*reaction).to_string()]);
    }
    command.args(arguments).output().expect("the program runs")
}

fn text(output: &Output) -> String {
    let (out, err) = (&output.stdout, &output.stderr);
    format!("{}{}", String::from_utf8_lossy(out), String::from_utf8_lossy(err))
}

// Guards against "nothing was changed" after a change whose first answer was lost.
#[test]
fn member_change_with_a_lost_answer_has_an_unknown_outcome() {
    for reactions in [&[Reaction::Lost, REFUSED][..], &[Reaction::Lost]] {
        let output = egretctl(reactions, &["member", "add", "core-4"]);
        let said = text(&output);
        assert_eq!(output.status.code(), Some(3), "{said}");
        assert!(!said.contains("nothing was changed"), "{said}");
        assert!(!said.contains("--operation"), "the command has no such flag: {said}");
        assert!(said.contains("egretctl status"), "{said}");
    }
}

#[test]
fn member_change_that_is_refused_at_once_changed_nothing() {
    let output = egretctl(&[REFUSED], &["member", "add", "core-4"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output).contains("nothing was changed"));
}
