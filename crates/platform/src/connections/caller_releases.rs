//! Ends of standing calls towards callers, sent until one is acknowledged.

use std::time::Duration;

use super::ConnectionTable;
use crate::codec::{MessageToCaller, Tag};
use crate::{Net, SocketId};

/// A release that was not sent on the connection on which its call was received may have reached a caller that
/// does not know the call. If it is not acknowledged within this time, it is sent on yet another connection.
const RELEASE_ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum number of connections on which a release is sent.
const MAX_CONNECTIONS_PER_RELEASE: usize = 6;
/// A release that was sent counts as received after this time even without an acknowledgement, because not
/// every caller acknowledges.
const UNACKNOWLEDGED_RELEASE_LIFETIME: Duration = Duration::from_secs(1);
/// A release that could not be sent on any connection is dropped after this time: it would be too late.
const UNSENT_RELEASE_LIFETIME: Duration = Duration::from_secs(10);

/// A release towards a caller that has not been acknowledged.
pub struct PendingRelease {
    ended_at: Duration,
    cause: u8,
    /// The connections on which it was sent, in order.
    sent_on: Vec<SocketId>,
    /// When it was last sent.
    sent_at: Duration,
    /// Whether it was last sent on the connection of its call, whose owner knows the call.
    sent_on_own_connection: bool,
}

impl ConnectionTable {
    /// Sends the end of a standing call to its caller: on the connection on which the call was received if it
    /// is open, otherwise on another one, because a standing call is not bound to a connection. If none is
    /// open it is sent on the next one accepted. It is sent again on other connections until it is
    /// acknowledged.
    pub fn release_caller(&mut self, net: &mut dyn Net, tag: Tag, cause: u8, own_socket: Option<SocketId>) {
        let mut release = PendingRelease {
            ended_at: self.now,
            cause,
            sent_on: Vec::new(),
            sent_at: self.now,
            sent_on_own_connection: false,
        };
        self.send_release(net, tag, &mut release, own_socket);
        if self.pending_releases.len() < self.bounds.pending_releases {
            self.pending_releases.insert(tag, release);
        } else if release.sent_on.is_empty() {
            net.log(&format!("release of {tag} could not be sent to any caller"));
        }
    }

    /// Sends a release on one more connection, if there is one. Connections on which calls were answered
    /// before are preferred.
    fn send_release(
        &mut self, net: &mut dyn Net, tag: Tag, release: &mut PendingRelease, own_socket: Option<SocketId>,
    ) -> bool {
        let is_usable = |id: &SocketId| !release.sent_on.contains(id) && !self.unusable_callers.contains(id);
        let own_socket = own_socket.filter(|socket| self.callers.contains_key(socket) && is_usable(socket));
        let others = || {
            let others = self.callers.iter().filter(|(id, _)| is_usable(id));
            others
                .max_by_key(|(id, c)| (c.has_been_answered, c.has_sent_valid, c.last_used, **id))
                .map(|(id, _)| *id)
        };
        let Some(socket) = own_socket.or_else(others) else { return false };
        let sent = self.send_to_caller(
            net,
            socket,
            tag,
            MessageToCaller::Finish { cause: release.cause, wait_ms: None },
        );
        if sent {
            (release.sent_at, release.sent_on_own_connection) = (self.now, own_socket.is_some());
            release.sent_on.push(socket);
        }
        sent
    }

    /// A caller has acknowledged a release.
    pub fn release_acknowledged(&mut self, tag: Tag) {
        self.pending_releases.remove(&tag);
    }

    /// Sends unacknowledged releases on further connections where due, and drops those that have expired.
    pub fn resend_releases(&mut self, net: &mut dyn Net) {
        let now = self.now;
        let mut releases = std::mem::take(&mut self.pending_releases);
        releases.retain(|tag, release| {
            let mut connected = release.sent_on.last().is_some_and(|last| self.callers.contains_key(last));
            let is_unacknowledged =
                !release.sent_on_own_connection && now >= release.sent_at + RELEASE_ACKNOWLEDGE_TIMEOUT;
            if (!connected || is_unacknowledged) && release.sent_on.len() < MAX_CONNECTIONS_PER_RELEASE {
                connected |= self.send_release(net, *tag, release, None);
            }
            let sent = connected || release.sent_on.len() >= MAX_CONNECTIONS_PER_RELEASE;
            let until = if sent {
                release.sent_at + UNACKNOWLEDGED_RELEASE_LIFETIME
            } else {
                release.ended_at + UNSENT_RELEASE_LIFETIME
            };
            if now >= until && release.sent_on.is_empty() {
                net.log(&format!("release of {tag} could not be sent to any caller"));
            }
            now < until
        });
        self.pending_releases = releases;
    }
}
