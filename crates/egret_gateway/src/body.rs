//! Bodies of answers to callers.

use std::{
    convert::Infallible,
    fmt,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use futures::Stream;
use http_body::{Body, Frame, SizeHint};

/// An answer that broke off; the connection to the caller is closed with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the answer broke off")]
pub struct ResponseAborted;

impl From<Infallible> for ResponseAborted {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// The body of an answer to a caller.
pub enum ResponseBody {
    /// All of it, until it is taken.
    Whole(Option<Bytes>),
    /// Pieces, as they come.
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
    /// Makes a body of bytes that are all there.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// Makes a body of pieces that come one by one.
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
                bytes.take().filter(|one| !one.is_empty()).map(|one| Ok(Frame::data(one))),
            ),
            Self::Pieces(pieces) => pieces
                .as_mut()
                .poll_next(context)
                .map(|piece| piece.map(|one| one.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(bytes) if bytes.as_ref().is_none_or(Bytes::is_empty))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |one| one.len() as u64))
            }
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}
