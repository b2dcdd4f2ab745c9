//! The stand-ins and the checks of the cases of this review. It uses the standard library only.
//!
//! `kit CASE FOLDER` plays a case and writes FOLDER/record.txt. It exits with 1 if the rule was broken, with 0 if it
//! held, and with 2 if the case couldn't run. With TROUBLE=0 it leaves out the disruption.

mod back;
mod brittle;
mod clients;
mod crash;
mod http;
mod instances;
mod json;
mod limits;
mod lines;
mod record;
mod replicas;
mod store;
mod stray;

use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use record::Record;

/// Longest time for a case.
const CASE_TIME_MAX: Duration = Duration::from_secs(112);

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun(&'static str),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: kit CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = Record::create(Path::new(folder));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.say(format!("case {case}, {} the disruption", if has_trouble { "with" } else { "without" }));
    let watched = record.clone();
    thread::spawn(move || {
        thread::sleep(CASE_TIME_MAX);
        watched.say("the case took too long");
        // The script ends the processes that are left.
        std::process::exit(2);
    });
    let verdict = match case.as_str() {
        "back" => back::run(&record, has_trouble),
        "brittle" => brittle::run(&record, has_trouble),
        "crash" => crash::run(&record, has_trouble),
        "limits" => limits::run(&record, has_trouble),
        "lines" => lines::run(&record, has_trouble),
        "stray" => stray::run(&record, has_trouble),
        _ => Verdict::NotRun("there is no such case"),
    };
    match verdict {
        Verdict::Held => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Verdict::NotRun(cause) => {
            record.say(format!("the case could not run: {cause}"));
            ExitCode::from(2)
        }
    }
}
