//! Error messages that an operator reads when the program exits, and whether a restart can help.

use std::io::{Error, ErrorKind};

use super::{ServeError, SupervisedTask};
use crate::admin::listener::AdminListenerError;

#[test]
fn the_program_exits_then_the_message_names_cause_and_remedy() {
    let (address, io_error) =
        ("127.0.0.1:9".parse().expect("the address is malformed"), || Error::from(ErrorKind::AddrInUse));
    let thread_error = ServeError::AdminListener(AdminListenerError::Thread(io_error()));
    let address_error =
        ServeError::AdminListener(AdminListenerError::Address { address, source: io_error() });
    for (error, is_permanent, text) in [
        (
            ServeError::ClientListener { listen: address, source: io_error() },
            true,
            "config: listen: 127.0.0.1:9: address in use; \
             give `listen` an address of this machine that no other program has",
        ),
        (
            address_error,
            true,
            "console: 127.0.0.1:9: address in use; \
             give `console` an address of this machine that no other program has",
        ),
        (
            thread_error,
            true,
            "console: no thread: address in use; raise the limit on processes, or leave `console` out",
        ),
        (
            ServeError::Runtime(io_error()),
            false,
            "the runtime does not start: address in use; raise the limits of this user, and start it again",
        ),
        (
            ServeError::SignalHandler { signal: "SIGHUP", source: io_error() },
            false,
            "SIGHUP: address in use; raise the limits of this user, and start it again",
        ),
    ] {
        assert_eq!((error.to_string().as_str(), error.is_permanent()), (text, is_permanent));
    }
}

#[test]
fn a_task_has_ended_then_the_message_names_it() {
    for (task, name) in [
        (SupervisedTask::Admin, "the admin address"),
        (SupervisedTask::Reload, "the reload task"),
        (SupervisedTask::Dispatch, "the dispatch task"),
        (SupervisedTask::Takeover, "the takeover task"),
        (SupervisedTask::EndpointWatcher, "the endpoint watcher"),
        (SupervisedTask::IdleConnectionSweep, "the sweep of idle connections"),
    ] {
        let error = ServeError::TaskEnded(task);
        let text =
            format!("{name} has ended; start the node again, and report this with the lines before it");
        assert_eq!((error.to_string(), error.is_permanent()), (text, false));
    }
}
