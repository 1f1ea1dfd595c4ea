//! HTTP interface for operators: templates, client accounts, announcements and status.

mod gateway;
mod routes;
mod wire;

pub use gateway::{DocumentChange, OperatorError, OperatorFuture, OperatorGateway};
pub use routes::configure;
pub use wire::{
    AnnounceReport, AnnounceRequest, ChangeDocumentRequest, ChangeReport, DocumentView,
    EndpointStatus, HistoryRow, InstanceStatus, MemberStatusRow, OperatorErrorResponse, PoolStatus,
};
