//! Runs operators and lease holders under faults once, and prints the history.
//!
//! `cargo run -p egret_bench --example control_faults -- SEED`

use egret_bench::control::{DisabledGuards, Options, run};

#[tokio::main]
async fn main() -> Result<(), String> {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(1);
    let options = Options::small(seed, DisabledGuards::default());
    let found = run(options).await?;
    println!("leased={:.3} faults={:?}", found.leased_share, found.faults);
    for amendment in &found.history.amendments {
        println!("{amendment:?}");
    }
    println!("violations={:?}", found.history.violations());
    Ok(())
}
