//! The datagrams by which instances exchange the origins of streams.

use anvilhook_core::fingerprints::Fingerprint;
use anvilhook_core::stream_origins::StreamOrigin;
use serde::{Deserialize, Serialize};

/// The first bytes of each message. No digest begins like this: it would be a number of more than 64 bits. So a build
/// that knows digests only ignores these messages.
const PREFIX: [u8; 10] = [0xff; 10];

/// The maximum number of origins in an answer.
const MAX_ANSWERED: usize = 32;

/// `OriginMessage` is a datagram about the origins of streams.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OriginMessage {
    /// A stream has begun.
    Began {
        /// The fingerprint of its request.
        fingerprint: Fingerprint,
        /// Its origin.
        origin: StreamOrigin,
    },
    /// Asks which streams of a request have begun.
    Query {
        /// The number of the query at its sender.
        number: u32,
        /// The fingerprint of the request.
        fingerprint: Fingerprint,
    },
    /// Answers a query.
    Answer {
        /// The number of the query.
        number: u32,
        /// The origins that the sender keeps.
        origins: Vec<StreamOrigin>,
    },
}

impl OriginMessage {
    /// Returns whether a datagram is a message of this kind.
    pub fn is_in(bytes: &[u8]) -> bool {
        bytes.starts_with(&PREFIX)
    }

    /// Encodes a message into a datagram.
    ///
    /// ```
    /// use anvilhook_core::fingerprints::Fingerprint;
    /// use anvilhook_gateway::origins::OriginMessage;
    ///
    /// let query = OriginMessage::Query { number: 1, fingerprint: Fingerprint(7) };
    /// let bytes = query.encode().expect("it can be encoded");
    /// assert!(OriginMessage::is_in(&bytes));
    /// assert_eq!(OriginMessage::decode(&bytes), Ok(query));
    /// ```
    ///
    /// # Errors
    ///
    /// An error of the encoder.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_extend(self, PREFIX.to_vec())
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// An error of the decoder if the datagram is no message of this kind.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let bytes = bytes.strip_prefix(&PREFIX).ok_or(postcard::Error::DeserializeBadEncoding)?;
        let message = postcard::from_bytes(bytes)?;
        match message {
            Self::Answer { origins, .. } if origins.len() > MAX_ANSWERED => {
                Err(postcard::Error::DeserializeBadEncoding)
            }
            message => Ok(message),
        }
    }
}
