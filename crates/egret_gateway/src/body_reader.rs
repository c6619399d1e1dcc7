//! The body of an answer that is no stream of events.

use std::{rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use egret_route::Failure;
use futures::{Stream, stream};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use tokio::time::timeout;

use crate::{ResponseAborted, backend::Connection, gateway::Gateway, slots::Slot};

/// Answers up to this size are read whole before they are passed on, in bytes.
///
/// Until then another backend server can be asked when one breaks off. A few hundred of them
/// at a time fit into the memory of an entry.
const WHOLE_BYTES: usize = 256 * 1024;

/// A body that is being read, at most until its request's deadline.
#[derive(Debug)]
pub(crate) struct Reading {
    body: Incoming,
    read: BytesMut,
    deadline: Duration,
}

impl Reading {
    pub(crate) fn new(body: Incoming, deadline: Duration) -> Self {
        Self { body, read: BytesMut::new(), deadline }
    }

    /// Reads the body whole; none when it is larger than is kept.
    ///
    /// # Errors
    ///
    /// Returns [`ResponseAborted`] when it breaks off or the deadline passes.
    pub(crate) async fn whole(
        &mut self,
        gateway: &Gateway,
    ) -> Result<Option<Bytes>, ResponseAborted> {
        let size = |bytes: u64| usize::try_from(bytes).unwrap_or(usize::MAX);
        if self.body.size_hint().upper().is_some_and(|upper| size(upper) > WHOLE_BYTES) {
            return Ok(None);
        }
        while self.read.len() <= WHOLE_BYTES {
            match self.next(gateway).await? {
                Some(bytes) => self.read.extend_from_slice(&bytes),
                None => return Ok(Some(self.read.split().freeze())),
            }
        }
        Ok(None)
    }

    /// Passes on what was read and the rest as it comes; `slot` is kept until it ends.
    pub(crate) fn pass_on(
        mut self,
        gateway: Rc<Gateway>,
        slot: Slot,
        connection: Connection,
    ) -> impl Stream<Item = Result<Bytes, ResponseAborted>> + 'static {
        let first = self.read.split().freeze();
        let first = stream::iter((!first.is_empty()).then_some(Ok(first)));
        let rest = (self, gateway, slot, connection);
        let rest = stream::try_unfold(rest, |(mut reading, gateway, slot, connection)| async {
            let health = &slot.backend.health;
            match reading.next(&gateway).await {
                Ok(Some(bytes)) => Ok(Some((bytes, (reading, gateway, slot, connection)))),
                Ok(None) => {
                    health.borrow_mut().record_success();
                    Ok(None)
                }
                Err(ResponseAborted) => {
                    health.borrow_mut().record_failure(Failure::BadResponse, gateway.now());
                    Err(ResponseAborted)
                }
            }
        });
        futures::StreamExt::chain(first, rest)
    }

    /// Reads more; nothing when the body has ended.
    async fn next(&mut self, gateway: &Gateway) -> Result<Option<Bytes>, ResponseAborted> {
        // A body that is always there would never let the time run out.
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
