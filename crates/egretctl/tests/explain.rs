//! The history of a request, collected from the logs of two entries.

use std::{fs, process::Command};

const FIRST: &str = "\
time=2026-04-06T22:27:01.000 level=info event=catalog_in_force version=Some(4)
time=2026-04-06T22:27:02.000 level=info event=backend_seen backend=i-1 draining=false seq=3
time=2026-04-06T22:27:03.000 level=info event=backend_seen backend=i-1 draining=false seq=4
time=2026-04-06T22:27:04.100 level=info event=attempt request=7f backend=i-1 outcome=silent
time=2026-04-06T22:27:04.200 level=info event=refused request=8a code=Overloaded
time=2026-04-06T22:27:04.300 level=info event=retry request=7f why=broken
time=2026-04-06T22:27:05.000 level=info event=backend_seen backend=i-1 draining=true seq=5
";
const SECOND: &str = "\
time=2026-04-06T22:27:06.000 level=info event=refused request=7f code=NoBackend
";

#[test]
fn lines_of_a_request_are_in_order_with_prior_status() {
    let folder = std::env::temp_dir().join(format!("egretctl-explain-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let files = [folder.join("first"), folder.join("second")];
    fs::write(&files[0], FIRST).expect("a log");
    fs::write(&files[1], SECOND).expect("a log");
    let run = |id: &str| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_egretctl"));
        command.args(["explain", id]).args(&files).output().expect("it runs")
    };
    let output = run("7f");
    let text = String::from_utf8(output.stdout).expect("text");
    let events: Vec<_> = text
        .lines()
        .map(|line| line.split("event=").nth(1).and_then(|rest| rest.split(' ').next()).unwrap())
        .collect();
    assert_eq!(events, ["catalog_in_force", "backend_seen", "attempt", "retry", "refused"]);
    assert!(text.contains("seq=4"), "the last status before the end of the request");
    assert!(!text.contains("seq=5") && !text.contains("request=8a"));
    let unknown = run("99");
    assert_eq!(unknown.status.code(), Some(2));
    let _ = fs::remove_dir_all(&folder);
}
