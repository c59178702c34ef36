//! HTTP responses of the simulated workers and of discovery.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::{Body, Frame};
use hyper::{Response, StatusCode};
use tokio::sync::mpsc::UnboundedReceiver;

/// Body whose parts are written as they arrive, until the channel is closed.
pub(super) struct StreamedBody(pub(super) UnboundedReceiver<Bytes>);

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0.poll_recv(context).map(|bytes| bytes.map(|bytes| Ok(Frame::data(bytes))))
    }
}

/// Response with a complete or a streamed body.
pub(super) type HttpResponse = Response<Either<Full<Bytes>, StreamedBody>>;

/// Returns a response with a complete body.
pub(super) fn respond(status: StatusCode, text: impl Into<Bytes>) -> HttpResponse {
    let mut response = Response::new(Either::Left(Full::new(text.into())));
    *response.status_mut() = status;
    response
}

/// Returns a response whose body is written as its parts arrive.
pub(super) fn stream(parts: UnboundedReceiver<Bytes>) -> HttpResponse {
    Response::new(Either::Right(StreamedBody(parts)))
}
