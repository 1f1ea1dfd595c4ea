//! The operators' paths.

use std::rc::Rc;

use ntex::http::StatusCode;
use ntex::web::types::{Json, Path, State};
use ntex::web::{self, HttpResponse, ServiceConfig};
use policy::ids::{AccountId, TemplateId};
use policy::template::{
    CONFIG_PREFIX, ConfigBody, DocumentError, account_key, check_account, check_template,
    template_key,
};

use crate::forms::{AnnounceForm, ChangeForm, OperatorErrorForm};
use crate::gateway::{ChangeRequest, OperatorFault, OperatorGateway};

type Gateway = State<Rc<dyn OperatorGateway>>;

/// Adds the operators' paths to an application, served by `gateway`.
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

fn reply<T: serde::Serialize>(result: Result<T, OperatorFault>) -> HttpResponse {
    match result {
        Ok(answer) => HttpResponse::Ok().json(&answer),
        Err(fault) => fault_response(fault),
    }
}

fn fault_response(fault: OperatorFault) -> HttpResponse {
    let (status, reason, message) = match fault {
        OperatorFault::Invalid(fault) => (
            StatusCode::BAD_REQUEST,
            "invalid",
            format!("{}: expected {}", fault.path, fault.expected),
        ),
        OperatorFault::Conflict(version) => (
            StatusCode::CONFLICT,
            "conflict",
            format!("the document is at version {version}"),
        ),
        OperatorFault::Unknown => (
            StatusCode::NOT_FOUND,
            "unknown",
            "there is nothing of this name".to_owned(),
        ),
        OperatorFault::PlatformDown => (
            StatusCode::SERVICE_UNAVAILABLE,
            "platform_down",
            "the change was not written; try again later".to_owned(),
        ),
        OperatorFault::Uncertain => (
            StatusCode::BAD_GATEWAY,
            "uncertain",
            "the change may have been written; read the document before trying again".to_owned(),
        ),
    };
    HttpResponse::build(status).json(&OperatorErrorForm {
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

fn one_document(gateway: &Gateway, key: &str) -> HttpResponse {
    let documents = gateway.documents(key);
    let found = documents.into_iter().find(|document| document.key == key);
    reply(found.ok_or(OperatorFault::Unknown))
}

async fn template(gateway: Gateway, name: Path<String>) -> HttpResponse {
    one_document(&gateway, &template_key(&TemplateId::new(name.into_inner())))
}

async fn account(gateway: Gateway, name: Path<String>) -> HttpResponse {
    one_document(&gateway, &account_key(&AccountId::new(name.into_inner())))
}

async fn template_history(gateway: Gateway, name: Path<String>) -> HttpResponse {
    let key = template_key(&TemplateId::new(name.into_inner()));
    reply(gateway.history(&key).await)
}

async fn account_history(gateway: Gateway, name: Path<String>) -> HttpResponse {
    let key = account_key(&AccountId::new(name.into_inner()));
    reply(gateway.history(&key).await)
}

async fn change_template(
    gateway: Gateway,
    name: Path<String>,
    form: Json<ChangeForm>,
) -> HttpResponse {
    let form = form.into_inner();
    let name = TemplateId::new(name.into_inner());
    let checked = match &form.body {
        ConfigBody::Template(template) if template.name == name => check_template(template),
        ConfigBody::Deleted => Ok(()),
        _ => Err(wrong_body("a template of the name in the path")),
    };
    write_change(&gateway, template_key(&name), form, checked).await
}

async fn change_account(
    gateway: Gateway,
    name: Path<String>,
    form: Json<ChangeForm>,
) -> HttpResponse {
    let form = form.into_inner();
    let name = AccountId::new(name.into_inner());
    let checked = match &form.body {
        ConfigBody::Account(account) if account.name == name => check_account(account),
        ConfigBody::Deleted => Ok(()),
        _ => Err(wrong_body("an account of the name in the path")),
    };
    write_change(&gateway, account_key(&name), form, checked).await
}

fn wrong_body(expected: &'static str) -> DocumentError {
    DocumentError {
        path: "body".to_owned(),
        expected,
    }
}

async fn write_change(
    gateway: &Gateway,
    key: String,
    form: ChangeForm,
    checked: Result<(), DocumentError>,
) -> HttpResponse {
    if let Err(fault) = checked {
        return fault_response(OperatorFault::Invalid(fault));
    }
    let request = ChangeRequest {
        key,
        body: form.body,
        author: form.author,
        if_version: form.if_version,
    };
    reply(gateway.change(request).await)
}

async fn rollout(gateway: Gateway, version: Path<u64>) -> HttpResponse {
    reply(gateway.rollout(version.into_inner()).await)
}

async fn announce(gateway: Gateway, form: Json<AnnounceForm>) -> HttpResponse {
    reply(gateway.announce(form.into_inner()).await)
}
