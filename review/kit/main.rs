//! Runs one case of the review with real processes of the project and stand-ins.
//!
//! Usage, from the root of the repository: `kit CASE FOLDER`. Exits with 1 if the rule was broken, 0 if
//! it held, and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod caller;
mod cases;
mod http;
mod json;
mod record;
mod replica;
mod router;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::thread;
use std::time::{Duration, Instant};

use record::Record;

/// How the rule was broken, or why the case could not run.
type CaseResult = std::io::Result<Vec<String>>;

/// Longest time of a case.
const TIME_MAX: Duration = Duration::from_secs(115);

/// Whether this process was asked to end.
static IS_STOPPED: AtomicBool = AtomicBool::new(false);

extern "C" {
    fn signal(signal: i32, handler: extern "C" fn(i32)) -> usize;
}

extern "C" fn note_signal(_signal: i32) {
    IS_STOPPED.store(true, Ordering::Relaxed);
}

/// Waits for the result of the case; `None` if there is none.
fn wait(result: &Receiver<CaseResult>) -> Option<CaseResult> {
    let until = Instant::now() + TIME_MAX;
    while Instant::now() < until && !IS_STOPPED.load(Ordering::Relaxed) {
        match result.recv_timeout(Duration::from_millis(100)) {
            Ok(result) => return Some(result),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return None,
        }
    }
    None
}

fn main() -> ExitCode {
    for number in [2, 15] {
        // SAFETY: the handler only sets a flag.
        unsafe { signal(number, note_signal) };
    }
    let words: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (words.get(1), words.get(2)) else {
        eprintln!("usage: kit CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(Path::new(folder)) else { return ExitCode::from(2) };
    record.line(&format!("case {case}, trouble: {has_trouble}"));
    let (sender, result) = std::sync::mpsc::channel();
    let (case, kept) = (case.clone(), record.clone());
    thread::spawn(move || {
        let _ = sender.send(cases::run(&case, has_trouble, &kept));
    });
    let code = match wait(&result) {
        Some(Ok(broken)) if broken.is_empty() => 0,
        Some(Ok(broken)) => {
            for line in &broken {
                record.line(&format!("BROKEN: {line}"));
                println!("{line}");
            }
            1
        }
        Some(Err(error)) => {
            record.line(&format!("could not run: {error}"));
            2
        }
        None => {
            record.line("could not run: stopped, panicked or took too long");
            2
        }
    };
    router::kill_all();
    record.line(&format!("exit {code}"));
    if std::env::var_os("KEEP_LOGS").is_none() {
        router::remove_logs();
    }
    ExitCode::from(code)
}
