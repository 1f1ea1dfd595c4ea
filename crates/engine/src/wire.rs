//! JSON messages of the engines' HTTP interface.

use std::fmt;

use policy::frame::{FrameHeader, FrameKind};
use policy::ids::{AttemptId, Incarnation, InstanceId, OwnerId, RequestId};
use policy::pool::{CacheChange, EngineListing, HeldMemory, RunningStream};
use policy::prefix::PrefixHash;

use crate::client::{CacheEvent, CacheEvents, EngineFrame, EngineReport};

/// A field of a message does not hold a valid attempt or owner id.
#[derives::tag]
pub(crate) struct IdentifierError;

impl fmt::Display for IdentifierError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .write_str("the engine's message holds an attempt or owner id that cannot be parsed")
    }
}

#[derives::wire]
pub(crate) struct FrameMessage {
    attempt: String,
    sequence: u64,
    offset: u64,
    tokens: u64,
    text: String,
    end: bool,
}

impl TryFrom<FrameMessage> for EngineFrame {
    type Error = IdentifierError;

    fn try_from(message: FrameMessage) -> Result<Self, IdentifierError> {
        Ok(Self {
            header: FrameHeader {
                attempt: parse_attempt(&message.attempt)?,
                sequence: message.sequence,
                offset: message.offset,
                tokens: message.tokens,
                kind: if message.end {
                    FrameKind::End
                } else {
                    FrameKind::Part
                },
            },
            text: message.text,
        })
    }
}

#[derives::wire]
pub(crate) struct ListingEntry {
    attempt: String,
    owner: String,
    tokens: u64,
}

#[derives::wire]
pub(crate) struct ListingResponse {
    streams: Vec<ListingEntry>,
    memory: Vec<ListingEntry>,
}

impl TryFrom<ListingResponse> for EngineListing {
    type Error = IdentifierError;

    fn try_from(response: ListingResponse) -> Result<Self, IdentifierError> {
        let streams = response.streams.iter().map(|entry| {
            Ok(RunningStream {
                attempt: parse_attempt(&entry.attempt)?,
                owner: parse_owner(&entry.owner)?,
                tokens: entry.tokens,
            })
        });
        let memory = response.memory.iter().map(|entry| {
            Ok(HeldMemory {
                attempt: parse_attempt(&entry.attempt)?,
                owner: parse_owner(&entry.owner)?,
                tokens: entry.tokens,
            })
        });
        Ok(Self {
            streams: streams.collect::<Result<_, IdentifierError>>()?,
            memory: memory.collect::<Result<_, IdentifierError>>()?,
        })
    }
}

#[derives::wire]
pub(crate) struct ReportResponse {
    uptime_ms: u64,
    model: String,
    running: usize,
    used_tokens: u64,
}

impl From<ReportResponse> for EngineReport {
    fn from(response: ReportResponse) -> Self {
        Self {
            uptime: response.uptime_ms,
            model: response.model,
            running: response.running,
            used_tokens: response.used_tokens,
        }
    }
}

#[derives::wire]
pub(crate) struct CacheEventEntry {
    hash: u64,
    stored: bool,
}

#[derives::wire]
pub(crate) struct CacheEventsResponse {
    newest: u64,
    events: Vec<CacheEventEntry>,
}

impl From<CacheEventsResponse> for CacheEvents {
    fn from(response: CacheEventsResponse) -> Self {
        let event = |entry: &CacheEventEntry| CacheEvent {
            hash: PrefixHash(entry.hash),
            change: if entry.stored {
                CacheChange::Stored
            } else {
                CacheChange::Evicted
            },
        };
        Self {
            newest: response.newest,
            events: response.events.iter().map(event).collect(),
        }
    }
}

#[derives::wire]
pub(crate) struct ImportMemoryRequest {
    pub(crate) owner: String,
    pub(crate) tokens: u64,
}

#[derives::wire]
pub(crate) struct OrderRequest {
    pub(crate) fencing: u64,
    pub(crate) model: String,
}

#[derives::wire]
#[serde(rename_all = "snake_case")]
pub(crate) enum OrderResponse {
    Taken,
    Fenced,
    Busy,
}

#[derives::wire]
pub(crate) struct EmptyResponse {}

fn parse_attempt(text: &str) -> Result<AttemptId, IdentifierError> {
    let (request, number) = text.split_once('-').ok_or(IdentifierError)?;
    let request = u128::from_str_radix(request, 16).map_err(|_| IdentifierError)?;
    Ok(AttemptId {
        request: RequestId(request),
        number: number.parse().map_err(|_| IdentifierError)?,
    })
}

fn parse_owner(text: &str) -> Result<OwnerId, IdentifierError> {
    let (instance, incarnation) = text.rsplit_once('/').ok_or(IdentifierError)?;
    let incarnation = incarnation.parse().map_err(|_| IdentifierError)?;
    Ok(OwnerId::new(
        InstanceId::new(instance),
        Incarnation(incarnation),
    ))
}
