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

// Guards against a comparison with nothing because the stored record could not be read.
#[test]
fn refusal_is_not_taken_for_a_missing_record() {
    let file = std::env::temp_dir().join(format!("egretctl-{}.yaml", std::process::id()));
    let record = "schema: 1\nname: register\nservice: register\npath: /register\n\
                  calls: [{ method: POST, path: /register/orders, once: true }]\n";
    std::fs::write(&file, record).expect("a writable folder");
    let path = file.to_str().expect("a text");
    let forbidden = Reaction::Answer {
        status: "401 Unauthorized",
        body: r#"{"error":{"code":"unauthorized","ran":"not_run","message":"the key is wrong"}}"#,
    };
    let output = egretctl(&[forbidden], &["diff", path]);
    assert_eq!(output.status.code(), Some(1), "{}", text(&output));
    assert!(text(&output).contains("the key is wrong"));
    let missing = Reaction::Answer {
        status: "404 Not Found",
        body: r#"{"error":{"code":"no_record","ran":"not_run","message":"there is no record"}}"#,
    };
    let output = egretctl(&[missing], &["diff", path]);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output));
    assert!(text(&output).contains("+ name: \"register\""), "{}", text(&output));
    let _ = std::fs::remove_file(&file);
}
