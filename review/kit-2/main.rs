//! The cases of the second review, with the stand-ins that they start.

mod base64;
mod cases;
mod fleet;
mod http;
mod json;
mod link;
mod replica;
mod slow;
mod store;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words[..] {
        ["replica", address, id, version] => replica::run(address, id, version),
        ["case", name, folder, logs] => cases::run(name, folder, logs),
        _ => {
            eprintln!("kit-2 case NAME FOLDER LOGS | kit-2 replica ADDRESS ID VERSION");
            std::process::exit(2);
        }
    }
}
