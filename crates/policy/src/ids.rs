//! Identifiers that several packages share, and the unit of time.

use std::fmt;

/// Milliseconds: a duration, or the time since the start of the process on a monotonic clock.
pub type Millis = u64;

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derives::name]
        pub struct $name(String);

        impl $name {
            /// Creates an identifier from its text in settings and messages.
            pub fn new(text: impl Into<String>) -> Self {
                Self(text.into())
            }

            /// Text of the identifier.
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
    /// Name of an entry instance, from its settings.
    InstanceId
}
text_id! {
    /// Name of a failure domain.
    DomainId
}
text_id! {
    /// Id of an endpoint: a model engine or the back end of a plain service.
    EndpointId
}
text_id! {
    /// Name of a pool: a group of endpoints that serve the same models or the same service.
    PoolId
}
text_id! {
    /// Name of a client account.
    AccountId
}
text_id! {
    /// Name of an account template.
    TemplateId
}

/// Incarnation of an instance: the wall-clock time of its start or re-join, in milliseconds.
///
/// A higher incarnation of an instance replaces a lower one.
#[derives::tag]
#[derive(Default, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Owner of grants, streams and claims: one incarnation of an entry instance.
#[derive(PartialOrd, Ord, Hash, Eq)]
#[derives::wire]
pub struct OwnerId {
    /// The instance.
    pub instance: InstanceId,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
}

impl OwnerId {
    /// Creates the id of an incarnation of `instance`.
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

/// Id of a request, unique in the fleet; its attempts are numbered.
#[derives::tag]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// Id of an attempt to serve a request; engines echo it in every answer frame.
#[derives::tag]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, from one; a number is never reused.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}", self.request, self.number)
    }
}
