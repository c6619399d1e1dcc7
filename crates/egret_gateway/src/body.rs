//! Bodies of responses to callers.

use std::{
    convert::Infallible,
    fmt,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use futures::Stream;
use http_body::{Body, Frame, SizeHint};

/// A response that ended early; the connection to the caller is closed with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the response ended early")]
pub struct ResponseAborted;

impl From<Infallible> for ResponseAborted {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// The body of a response to a caller.
pub enum ResponseBody {
    /// The whole body, until it is sent.
    Whole(Option<Bytes>),
    /// Pieces, sent as they arrive.
    Pieces(Pin<Box<dyn Stream<Item = Result<Bytes, ResponseAborted>>>>),
}

impl fmt::Debug for ResponseBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Whole(bytes) => f.debug_tuple("Whole").field(bytes).finish(),
            Self::Pieces(_) => f.write_str("Pieces"),
        }
    }
}

impl ResponseBody {
    /// Creates a body of bytes that are available already.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// Creates a body of pieces that arrive one by one.
    pub fn pieces(pieces: impl Stream<Item = Result<Bytes, ResponseAborted>> + 'static) -> Self {
        Self::Pieces(Box::pin(pieces))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(
                bytes.take().filter(|bytes| !bytes.is_empty()).map(|bytes| Ok(Frame::data(bytes))),
            ),
            Self::Pieces(pieces) => pieces
                .as_mut()
                .poll_next(context)
                .map(|piece| piece.map(|bytes| bytes.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(bytes) if bytes.as_ref().is_none_or(Bytes::is_empty))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}
