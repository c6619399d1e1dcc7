//! Response bodies that are not event streams.

use std::{rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use egret_route::Failure;
use futures::{Stream, stream};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use tokio::time::timeout;

use crate::{ResponseAborted, backend::Connection, gateway::Gateway, slot::Slot};

/// Responses up to this size are buffered before they are forwarded, in bytes.
///
/// A buffered response can still be retried at another backend server when it ends early. A few
/// hundred of them at a time fit into the memory of an entry.
const BUFFER_BYTES_MAX: usize = 256 * 1024;

/// Reads a response body until the deadline of its request.
#[derive(Debug)]
pub(crate) struct BodyReader {
    body: Incoming,
    buffer: BytesMut,
    deadline: Duration,
}

impl BodyReader {
    pub(crate) fn new(body: Incoming, deadline: Duration) -> Self {
        Self { body, buffer: BytesMut::new(), deadline }
    }

    /// Buffers the whole body; returns none when it is larger than [`BUFFER_BYTES_MAX`].
    ///
    /// # Errors
    ///
    /// Returns [`ResponseAborted`] when the body ends early or the deadline passes.
    pub(crate) async fn read_whole(
        &mut self,
        gateway: &Gateway,
    ) -> Result<Option<Bytes>, ResponseAborted> {
        let size = |bytes: u64| usize::try_from(bytes).unwrap_or(usize::MAX);
        if self.body.size_hint().upper().is_some_and(|upper| size(upper) > BUFFER_BYTES_MAX) {
            return Ok(None);
        }
        while self.buffer.len() <= BUFFER_BYTES_MAX {
            match self.next(gateway).await? {
                Some(bytes) => self.buffer.extend_from_slice(&bytes),
                None => return Ok(Some(self.buffer.split().freeze())),
            }
        }
        Ok(None)
    }

    /// Forwards what was buffered and the rest as it arrives; holds `slot` until the end.
    pub(crate) fn into_stream(
        mut self,
        gateway: Rc<Gateway>,
        slot: Slot,
        connection: Connection,
    ) -> impl Stream<Item = Result<Bytes, ResponseAborted>> + 'static {
        let first = self.buffer.split().freeze();
        let first = stream::iter((!first.is_empty()).then_some(Ok(first)));
        let rest = (self, gateway, slot, connection);
        let rest = stream::try_unfold(rest, |(mut reader, gateway, slot, connection)| async {
            let breaker = &slot.backend.breaker;
            match reader.next(&gateway).await {
                Ok(Some(bytes)) => Ok(Some((bytes, (reader, gateway, slot, connection)))),
                Ok(None) => {
                    breaker.borrow_mut().record_success();
                    Ok(None)
                }
                Err(ResponseAborted) => {
                    breaker.borrow_mut().record_failure(Failure::BadResponse, gateway.now());
                    Err(ResponseAborted)
                }
            }
        });
        futures::StreamExt::chain(first, rest)
    }

    /// Reads the next frame; returns none when the body has ended.
    async fn next(&mut self, gateway: &Gateway) -> Result<Option<Bytes>, ResponseAborted> {
        // `timeout` polls the body first, so it does not expire while data is always ready.
        let left = self.deadline.saturating_sub(gateway.now());
        if left.is_zero() {
            return Err(ResponseAborted);
        }
        match timeout(left, self.body.frame()).await {
            Ok(Some(Ok(frame))) => Ok(Some(frame.into_data().unwrap_or_default())),
            Ok(None) => Ok(None),
            Ok(Some(Err(_))) | Err(_) => Err(ResponseAborted),
        }
    }
}
