//! HTTP towards operators: templates, accounts, announcements, status.

mod forms;
mod gateway;
mod routes;

pub use forms::{
    AnnounceForm, AnnounceReport, ChangeForm, ChangeReport, DocumentView, EndpointStatus,
    HistoryRow, InstanceStatus, MemberStatusRow, OperatorErrorForm, PoolStatus,
};
pub use gateway::{ChangeRequest, OperatorFault, OperatorFuture, OperatorGateway};
pub use routes::configure;
