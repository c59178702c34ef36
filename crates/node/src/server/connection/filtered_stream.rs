//! Stream that hyper reads and writes: reads go through the [`ReadFilter`], writes go directly to the socket.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::ReadFilter;

/// Socket of a connection behind its read filter. The connection's task inspects the filter as well.
pub struct FilteredStream(Rc<RefCell<ReadFilter>>);

impl FilteredStream {
    /// Creates a stream that reads through this filter.
    pub fn new(read_filter: Rc<RefCell<ReadFilter>>) -> FilteredStream {
        FilteredStream(read_filter)
    }
}

impl AsyncRead for FilteredStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.0.borrow_mut().poll_read(context, out)
    }
}

impl AsyncWrite for FilteredStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let mut filter = self.0.borrow_mut();
        let written = Pin::new(&mut filter.stream).poll_write(context, bytes);
        filter.connection.track_write(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let mut filter = self.0.borrow_mut();
        let written = Pin::new(&mut filter.stream).poll_write_vectored(context, slices);
        filter.connection.track_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.borrow().stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_shutdown(context)
    }
}
