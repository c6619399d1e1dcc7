//! Responses that are read on while their callers do not read.

use std::{
    cell::RefCell,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};

use crate::{Charge, ConnectionState, ResponseAborted, ResponseBody, SharedBudget};

/// Size of the pieces in which buffered bytes are sent, in bytes.
const PIECE_BYTES: usize = 32 * 1024;

/// A response, and what was read of it before its caller did.
///
/// A backend server cuts off what stays unread for some seconds. So the response is read on into
/// memory while the budget allows, and else the backend server has to wait.
#[derive(Debug)]
pub(crate) struct ReadAhead {
    body: ResponseBody,
    buffer: BytesMut,
    /// How the body ended, after the bytes in the buffer.
    end: Option<Result<(), ResponseAborted>>,
    charge: Option<Charge>,
}

impl ReadAhead {
    fn new(body: ResponseBody) -> Self {
        Self { body, buffer: BytesMut::new(), end: None, charge: None }
    }

    /// Reads on while pieces are ready and there is memory.
    pub(crate) fn fill(
        &mut self,
        memory: &Rc<SharedBudget>,
        connection: &Arc<ConnectionState>,
        context: &mut Context<'_>,
    ) {
        if !matches!(self.body, ResponseBody::Pieces(_)) {
            return;
        }
        while self.end.is_none() {
            let is_stalled = !memory.may_read_ahead(self.buffer.len());
            connection.set_stalled(is_stalled);
            if is_stalled {
                return;
            }
            match Pin::new(&mut self.body).poll_frame(context) {
                Poll::Ready(Some(Ok(frame))) => {
                    let bytes = frame.into_data().unwrap_or_default();
                    let charge =
                        self.charge.get_or_insert_with(|| memory.begin(connection.clone()));
                    charge.add(bytes.len());
                    self.buffer.extend_from_slice(&bytes);
                }
                Poll::Ready(Some(Err(error))) => self.end = Some(Err(error)),
                Poll::Ready(None) => self.end = Some(Ok(())),
                Poll::Pending => return,
            }
        }
        // What is left is in memory, and the backend server is free.
        connection.set_stalled(false);
    }

    fn poll(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        if !self.buffer.is_empty() {
            let piece = self.buffer.split_to(self.buffer.len().min(PIECE_BYTES)).freeze();
            if self.buffer.is_empty() {
                self.charge = None;
            }
            return Poll::Ready(Some(Ok(Frame::data(piece))));
        }
        match self.end {
            None => Pin::new(&mut self.body).poll_frame(context),
            Some(Ok(())) => Poll::Ready(None),
            Some(Err(error)) => Poll::Ready(Some(Err(error))),
        }
    }
}

/// The body of a response whose end is recorded.
pub(crate) struct TrackedBody {
    ahead: Rc<RefCell<ReadAhead>>,
    connection: Arc<ConnectionState>,
}

impl TrackedBody {
    pub(crate) fn new(body: ResponseBody, connection: Arc<ConnectionState>) -> Self {
        Self { ahead: Rc::new(RefCell::new(ReadAhead::new(body))), connection }
    }

    pub(crate) fn ahead(&self) -> Rc<RefCell<ReadAhead>> {
        self.ahead.clone()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.connection.record_response();
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        self.ahead.borrow_mut().poll(context)
    }

    fn is_end_stream(&self) -> bool {
        let ahead = self.ahead.borrow();
        ahead.buffer.is_empty() && ahead.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        // Only a body that is not read ahead has a length.
        self.ahead.borrow().body.size_hint()
    }
}
