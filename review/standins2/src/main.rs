//! Stand-ins of the second review: search servers, gRPC servers, clients, and the control of the coordinators
//! that a case starts. One subcommand a case; each prints `held`, `broken` or `not run` and exits with 0, 1 or 2.
//! Everything listens on loopback addresses. Standard library only.
mod cases;
mod grpc;
mod guard;
mod http;
mod members;
mod platform;
mod record;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let case = arguments.get(1).map_or("", String::as_str);
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    if case == "guard" {
        return guard::watch(arguments.get(2).map_or("", String::as_str));
    }
    let run = match case {
        "restart" => cases::restart::run,
        "starve" => cases::starve::run,
        "stop" => cases::stop::run,
        "together" => cases::together::run,
        "window" => cases::window::run,
        _ => {
            eprintln!("usage: standins2 restart|starve|stop|together|window ROOT FOLDER RECORD");
            std::process::exit(2);
        }
    };
    let path = |n: usize| std::path::PathBuf::from(arguments.get(n).map_or(".", String::as_str));
    let record = record::Record::create(&path(4));
    let setting = members::Setting { root: path(2), folder: path(3), record: record.clone() };
    guard::start(&setting.folder);
    let code = match run(&setting, trouble) {
        Ok(true) => (0, "held"),
        Ok(false) => (1, "broken"),
        Err(why) => {
            record.note(&format!("the case could not run: {why}"));
            (2, "not run")
        }
    };
    record.note(&format!("result: {}", code.1));
    println!("{}", code.1);
    std::process::exit(code.0);
}
