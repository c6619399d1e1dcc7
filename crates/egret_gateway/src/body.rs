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

use crate::Charge;

/// Size of the pieces in which a whole body is sent, in bytes.
const PIECE_BYTES: usize = 32 * 1024;

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
    /// The rest of a body that is available already, and its memory.
    Whole(Bytes, Option<Charge>),
    /// Pieces, sent as they arrive.
    Pieces(Pin<Box<dyn Stream<Item = Result<Bytes, ResponseAborted>>>>),
}

impl fmt::Debug for ResponseBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Whole(bytes, _) => f.debug_tuple("Whole").field(bytes).finish(),
            Self::Pieces(_) => f.write_str("Pieces"),
        }
    }
}

impl ResponseBody {
    /// Creates a body of bytes that are available already.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(bytes.into(), None)
    }

    /// Creates a body of bytes that are available already, charged to a budget until it is sent.
    pub(crate) fn charged(bytes: Bytes, charge: Charge) -> Self {
        Self::Whole(bytes, Some(charge))
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
            Self::Whole(bytes, _) => {
                // A piece at a time, so that the body exists until the caller has read most of it.
                let piece = bytes.split_to(bytes.len().min(PIECE_BYTES));
                Poll::Ready((!piece.is_empty()).then_some(Ok(Frame::data(piece))))
            }
            Self::Pieces(pieces) => pieces
                .as_mut()
                .poll_next(context)
                .map(|piece| piece.map(|bytes| bytes.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(bytes, _) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes, _) => SizeHint::with_exact(bytes.len() as u64),
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}
