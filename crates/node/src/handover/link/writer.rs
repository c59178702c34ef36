//! Task that writes the frames of a link.

use std::io;
use std::os::fd::OwnedFd;
use std::rc::Rc;

use bytes::{Buf, Bytes};
use tokio::net::UnixStream;

use super::state::LinkState;
use crate::handover::descriptor_stream::{send_with_descriptor, write_all};

/// Writes queued frames until the link is lost. Waits as long as the peer reads nothing: a peer that is held up
/// has not ended. Closes the link if a write fails, which means that the peer has closed its end.
pub(super) async fn write_frames(state: Rc<LinkState>) {
    while state.is_connected() {
        let front = state.outbound.borrow().front();
        let Some((bytes, descriptor)) = front else {
            state.outbound_written.notify_waiters();
            state.outbound_changed.notified().await;
            continue;
        };
        let write = write_frame(&state.stream, bytes, descriptor);
        let written = tokio::select! {
            biased;
            () = state.lost.cancelled() => return,
            written = write => written,
        };
        if written.is_err() {
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
        let sent = send_with_descriptor(stream, &bytes, &*descriptor).await?;
        bytes.advance(sent);
    }
    write_all(stream, bytes).await
}
