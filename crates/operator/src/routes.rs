//! Routes and handlers of the operators' HTTP interface.

use std::rc::Rc;

use ntex::http::StatusCode;
use ntex::web::types::{Json, Path, State};
use ntex::web::{self, HttpResponse, ServiceConfig};
use policy::ids::{AccountId, TemplateId};
use policy::template::{
    CONFIG_PREFIX, ConfigBody, DocumentError, account_key, check_account, check_template,
    template_key,
};

use crate::gateway::{DocumentChange, OperatorError, OperatorGateway};
use crate::wire::{AnnounceRequest, ChangeDocumentRequest, OperatorErrorResponse};

type Gateway = State<Rc<dyn OperatorGateway>>;

/// Registers the operators' routes with an application; `gateway` serves the requests.
pub fn configure(config: &mut ServiceConfig, gateway: Rc<dyn OperatorGateway>) {
    config.state(gateway).service((
        web::resource("/operator/status").route(web::get().to(status)),
        web::resource("/operator/documents").route(web::get().to(all_documents)),
        web::resource("/operator/templates/{name}")
            .route(web::get().to(template))
            .route(web::put().to(change_template)),
        web::resource("/operator/templates/{name}/history").route(web::get().to(template_history)),
        web::resource("/operator/accounts/{name}")
            .route(web::get().to(account))
            .route(web::put().to(change_account)),
        web::resource("/operator/accounts/{name}/history").route(web::get().to(account_history)),
        web::resource("/operator/rollouts/{version}").route(web::get().to(rollout)),
        web::resource("/operator/announcements").route(web::post().to(announce)),
    ));
}

fn json_response<T: serde::Serialize>(result: Result<T, OperatorError>) -> HttpResponse {
    match result {
        Ok(answer) => HttpResponse::Ok().json(&answer),
        Err(error) => error_response(error),
    }
}

fn error_response(error: OperatorError) -> HttpResponse {
    let (status, reason, message) = match error {
        OperatorError::Invalid(error) => (
            StatusCode::BAD_REQUEST,
            "invalid",
            format!("{}: expected {}", error.path, error.expected),
        ),
        OperatorError::Conflict(version) => (
            StatusCode::CONFLICT,
            "conflict",
            format!("the document is at version {version}"),
        ),
        OperatorError::Unknown => (
            StatusCode::NOT_FOUND,
            "unknown",
            "there is nothing of this name".to_owned(),
        ),
        OperatorError::PlatformDown => (
            StatusCode::SERVICE_UNAVAILABLE,
            "platform_down",
            "the change was not written; try again later".to_owned(),
        ),
        OperatorError::Uncertain => (
            StatusCode::BAD_GATEWAY,
            "uncertain",
            "the change may have been written; read the document before trying again".to_owned(),
        ),
    };
    HttpResponse::build(status).json(&OperatorErrorResponse {
        reason: reason.to_owned(),
        message,
    })
}

async fn status(gateway: Gateway) -> HttpResponse {
    HttpResponse::Ok().json(&gateway.status())
}

async fn all_documents(gateway: Gateway) -> HttpResponse {
    HttpResponse::Ok().json(&gateway.documents(CONFIG_PREFIX))
}

fn document_response(gateway: &Gateway, key: &str) -> HttpResponse {
    let documents = gateway.documents(key);
    let found = documents.into_iter().find(|document| document.key == key);
    json_response(found.ok_or(OperatorError::Unknown))
}

async fn template(gateway: Gateway, name: Path<String>) -> HttpResponse {
    document_response(&gateway, &template_key(&TemplateId::new(name.into_inner())))
}

async fn account(gateway: Gateway, name: Path<String>) -> HttpResponse {
    document_response(&gateway, &account_key(&AccountId::new(name.into_inner())))
}

async fn template_history(gateway: Gateway, name: Path<String>) -> HttpResponse {
    let key = template_key(&TemplateId::new(name.into_inner()));
    json_response(gateway.history(&key).await)
}

async fn account_history(gateway: Gateway, name: Path<String>) -> HttpResponse {
    let key = account_key(&AccountId::new(name.into_inner()));
    json_response(gateway.history(&key).await)
}

async fn change_template(
    gateway: Gateway,
    name: Path<String>,
    request: Json<ChangeDocumentRequest>,
) -> HttpResponse {
    let request = request.into_inner();
    let name = TemplateId::new(name.into_inner());
    let checked = match &request.body {
        ConfigBody::Template(template) if template.name == name => check_template(template),
        ConfigBody::Deleted => Ok(()),
        _ => Err(body_error("a template of the name in the path")),
    };
    write_change(&gateway, template_key(&name), request, checked).await
}

async fn change_account(
    gateway: Gateway,
    name: Path<String>,
    request: Json<ChangeDocumentRequest>,
) -> HttpResponse {
    let request = request.into_inner();
    let name = AccountId::new(name.into_inner());
    let checked = match &request.body {
        ConfigBody::Account(account) if account.name == name => check_account(account),
        ConfigBody::Deleted => Ok(()),
        _ => Err(body_error("an account of the name in the path")),
    };
    write_change(&gateway, account_key(&name), request, checked).await
}

fn body_error(expected: &'static str) -> DocumentError {
    DocumentError {
        path: "body".to_owned(),
        expected,
    }
}

async fn write_change(
    gateway: &Gateway,
    key: String,
    request: ChangeDocumentRequest,
    checked: Result<(), DocumentError>,
) -> HttpResponse {
    if let Err(error) = checked {
        return error_response(OperatorError::Invalid(error));
    }
    let change = DocumentChange {
        key,
        body: request.body,
        author: request.author,
        if_version: request.if_version,
    };
    json_response(gateway.change(change).await)
}

async fn rollout(gateway: Gateway, version: Path<u64>) -> HttpResponse {
    json_response(gateway.rollout(version.into_inner()).await)
}

async fn announce(gateway: Gateway, request: Json<AnnounceRequest>) -> HttpResponse {
    json_response(gateway.announce(request.into_inner()).await)
}
