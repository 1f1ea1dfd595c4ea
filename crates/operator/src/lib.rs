//! HTTP interface for operators: templates, client accounts, announcements and status.

mod gateway;
mod routes;
mod wire;

pub use gateway::{ChangeRequest, OperatorFault, OperatorFuture, OperatorGateway};
pub use routes::configure;
pub use wire::{
    AnnounceForm, AnnounceReport, ChangeForm, ChangeReport, DocumentView, EndpointStatus,
    HistoryRow, InstanceStatus, MemberStatusRow, OperatorErrorForm, PoolStatus,
};
