//! Task that writes the frames of a link.

use std::io;
use std::os::fd::OwnedFd;
use std::rc::Rc;

use bytes::{Buf, Bytes};
use tokio::net::UnixStream;
use tokio::time::timeout;

use super::state::LinkState;
use crate::handover::descriptor_stream::{WRITE_STALL_TIMEOUT, send_with_descriptor, write_all};

/// Writes queued frames until the link is lost. Closes the link if a write fails or stalls.
pub(super) async fn write_frames(state: Rc<LinkState>) {
    while state.is_connected() {
        let front = state.outbound.borrow().front();
        let Some((bytes, descriptor)) = front else {
            state.outbound_written.notify_waiters();
            state.outbound_changed.notified().await;
            continue;
        };
        if write_frame(&state.stream, bytes, descriptor).await.is_err() {
            return state.close();
        }
        state.outbound.borrow_mut().remove_written();
    }
}

async fn write_frame(
    stream: &UnixStream,
    mut bytes: Bytes,
    descriptor: Option<Rc<OwnedFd>>,
) -> io::Result<()> {
    if let Some(descriptor) = descriptor {
        let send = send_with_descriptor(stream, &bytes, &*descriptor);
        let sent = timeout(WRITE_STALL_TIMEOUT, send).await??;
        bytes.advance(sent);
    }
    write_all(stream, bytes).await
}
