//! JSON forms of the engines' HTTP interface.

use std::fmt;

use policy::frame::{FrameHeader, FrameKind};
use policy::ids::{AttemptId, Incarnation, InstanceId, OwnerId, RequestId};
use policy::pool::{CacheChange, EngineListing, HeldMemory, RunningStream};
use policy::prefix::PrefixHash;

use crate::client::{CacheEvent, CacheEvents, EngineFrame, EngineReport};

/// A form whose text cannot be an identifier.
#[derives::tag]
pub(crate) struct FormFault;

impl fmt::Display for FormFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the form holds an identifier that cannot be read")
    }
}

#[derives::wire]
pub(crate) struct FrameForm {
    attempt: String,
    sequence: u64,
    offset: u64,
    tokens: u64,
    text: String,
    end: bool,
}

impl TryFrom<FrameForm> for EngineFrame {
    type Error = FormFault;

    fn try_from(form: FrameForm) -> Result<Self, FormFault> {
        Ok(Self {
            head: FrameHeader {
                attempt: parse_attempt(&form.attempt)?,
                sequence: form.sequence,
                offset: form.offset,
                tokens: form.tokens,
                kind: if form.end {
                    FrameKind::End
                } else {
                    FrameKind::Part
                },
            },
            text: form.text,
        })
    }
}

#[derives::wire]
pub(crate) struct HoldForm {
    attempt: String,
    owner: String,
    tokens: u64,
}

#[derives::wire]
pub(crate) struct ListingForm {
    streams: Vec<HoldForm>,
    memory: Vec<HoldForm>,
}

impl TryFrom<ListingForm> for EngineListing {
    type Error = FormFault;

    fn try_from(form: ListingForm) -> Result<Self, FormFault> {
        let streams = form.streams.iter().map(|hold| {
            Ok(RunningStream {
                attempt: parse_attempt(&hold.attempt)?,
                owner: parse_owner(&hold.owner)?,
                tokens: hold.tokens,
            })
        });
        let memory = form.memory.iter().map(|hold| {
            Ok(HeldMemory {
                attempt: parse_attempt(&hold.attempt)?,
                owner: parse_owner(&hold.owner)?,
                tokens: hold.tokens,
            })
        });
        Ok(Self {
            streams: streams.collect::<Result<_, FormFault>>()?,
            memory: memory.collect::<Result<_, FormFault>>()?,
        })
    }
}

#[derives::wire]
pub(crate) struct ReportForm {
    uptime_ms: u64,
    model: String,
    running: usize,
    used_tokens: u64,
}

impl From<ReportForm> for EngineReport {
    fn from(form: ReportForm) -> Self {
        Self {
            uptime: form.uptime_ms,
            model: form.model,
            running: form.running,
            used_tokens: form.used_tokens,
        }
    }
}

#[derives::wire]
pub(crate) struct CacheEventForm {
    hash: u64,
    stored: bool,
}

#[derives::wire]
pub(crate) struct CacheEventsForm {
    newest: u64,
    events: Vec<CacheEventForm>,
}

impl From<CacheEventsForm> for CacheEvents {
    fn from(form: CacheEventsForm) -> Self {
        let event = |form: &CacheEventForm| CacheEvent {
            hash: PrefixHash(form.hash),
            change: if form.stored {
                CacheChange::Stored
            } else {
                CacheChange::Evicted
            },
        };
        Self {
            newest: form.newest,
            events: form.events.iter().map(event).collect(),
        }
    }
}

#[derives::wire]
pub(crate) struct MemoryForm {
    pub(crate) owner: String,
    pub(crate) tokens: u64,
}

#[derives::wire]
pub(crate) struct OrderForm {
    pub(crate) fencing: u64,
    pub(crate) model: String,
}

#[derives::wire]
#[serde(rename_all = "snake_case")]
pub(crate) enum OrderAnswerForm {
    Taken,
    Fenced,
    Busy,
}

#[derives::wire]
pub(crate) struct DoneForm {}

fn parse_attempt(text: &str) -> Result<AttemptId, FormFault> {
    let (request, number) = text.split_once('-').ok_or(FormFault)?;
    let request = u128::from_str_radix(request, 16).map_err(|_| FormFault)?;
    Ok(AttemptId {
        request: RequestId(request),
        number: number.parse().map_err(|_| FormFault)?,
    })
}

fn parse_owner(text: &str) -> Result<OwnerId, FormFault> {
    let (instance, incarnation) = text.rsplit_once('/').ok_or(FormFault)?;
    let incarnation = incarnation.parse().map_err(|_| FormFault)?;
    Ok(OwnerId::new(
        InstanceId::new(instance),
        Incarnation(incarnation),
    ))
}
