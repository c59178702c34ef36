//! Stand-ins and cases of the second review. `review-2 CASE RECORD` plays a case and ends with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run.

mod adoption;
mod discovery;
mod lab;
mod late_watch;
mod maintenance;
mod worker;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let broken = match words[..] {
        ["adoption", record] => adoption::play(record),
        ["silent-part", port, count] => adoption::silent_part(port, count),
        ["late-watch", record] => late_watch::play(record),
        ["maintenance", record] => maintenance::play(record),
        _ => lab::cannot_run("usage: review-2 CASE RECORD"),
    };
    std::process::exit(i32::from(broken));
}
