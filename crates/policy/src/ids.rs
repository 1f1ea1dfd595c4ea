//! Identifiers that more than one package uses, and the unit of time.

use std::fmt;

/// Milliseconds of a monotonic clock whose zero is the start of the process.
pub type Millis = u64;

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derives::name]
        pub struct $name(String);

        impl $name {
            /// Wraps an identifier as it is written in settings and messages.
            pub fn new(text: impl Into<String>) -> Self {
                Self(text.into())
            }

            /// The identifier as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

text_id! {
    /// An entry instance, as named in its settings.
    InstanceId
}
text_id! {
    /// A failure domain.
    DomainId
}
text_id! {
    /// A model engine or plain-service worker.
    EndpointId
}
text_id! {
    /// A group of endpoints that serve the same models or the same service.
    PoolId
}
text_id! {
    /// A client account.
    AccountId
}
text_id! {
    /// An account template.
    TemplateId
}

/// The start count of an instance: milliseconds of the wall clock at its start or re-join.
///
/// A higher incarnation of the same instance replaces a lower one.
#[derives::tag]
#[derive(Default, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// One life of one entry instance: the owner of grants, streams and claims.
#[derive(PartialOrd, Ord, Hash, Eq)]
#[derives::wire]
pub struct OwnerId {
    /// The instance.
    pub instance: InstanceId,
    /// Which of its lives.
    pub incarnation: Incarnation,
}

impl OwnerId {
    /// Names one life of `instance`.
    #[must_use]
    pub fn new(instance: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            instance,
            incarnation,
        }
    }
}

impl fmt::Display for OwnerId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.instance, self.incarnation.0)
    }
}

/// A request, unique in the fleet; each attempt at it has a number of its own.
#[derives::tag]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// One attempt at a request, echoed in every answer frame.
#[derives::tag]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Counted from one; a new attempt never reuses a number.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}", self.request, self.number)
    }
}
