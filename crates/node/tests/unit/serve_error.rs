//! The line that an operator reads when the program ends, and whether another start can help.

use std::io::{Error, ErrorKind};

use super::{ServeError, SupervisedTask};
use crate::admin::listener::AdminListenerError;

#[test]
fn the_program_ends_then_the_line_names_cause_and_remedy() {
    let (address, denied) =
        ("127.0.0.1:9".parse().expect("an address"), || Error::from(ErrorKind::AddrInUse));
    let no_thread = ServeError::AdminListener(AdminListenerError::Thread(denied()));
    let no_admin = ServeError::AdminListener(AdminListenerError::Address { address, source: denied() });
    for (problem, is_permanent, text) in [
        (
            ServeError::ClientListener { listen: address, source: denied() },
            true,
            "config: listen: 127.0.0.1:9: address in use; \
             give `listen` an address of this machine that no other program has",
        ),
        (
            no_admin,
            true,
            "console: 127.0.0.1:9: address in use; \
             give `console` an address of this machine that no other program has",
        ),
        (
            no_thread,
            true,
            "console: no thread: address in use; raise the limit on processes, or leave `console` out",
        ),
        (
            ServeError::Runtime(denied()),
            false,
            "the runtime does not start: address in use; raise the limits of this user, and start it again",
        ),
        (
            ServeError::SignalHandler { signal: "SIGHUP", source: denied() },
            false,
            "SIGHUP: address in use; raise the limits of this user, and start it again",
        ),
    ] {
        assert_eq!((problem.to_string().as_str(), problem.is_permanent()), (text, is_permanent));
    }
}

#[test]
fn a_task_has_ended_then_the_line_names_it() {
    for (task, name) in [
        (SupervisedTask::Admin, "the admin address"),
        (SupervisedTask::Reload, "the reload task"),
        (SupervisedTask::Dispatch, "the dispatch task"),
        (SupervisedTask::Takeover, "the takeover task"),
        (SupervisedTask::EndpointWatcher, "the endpoint watcher"),
        (SupervisedTask::IdleConnectionSweep, "the sweep of idle connections"),
    ] {
        let problem = ServeError::TaskEnded(task);
        let text =
            format!("{name} has ended; start the node again, and report this with the lines before it");
        assert_eq!((problem.to_string(), problem.is_permanent()), (text, false));
    }
}
