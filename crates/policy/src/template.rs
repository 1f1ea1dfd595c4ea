//! Account templates and client accounts, and the versioned store that holds them.

use std::collections::{BTreeMap, HashMap};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{AccountId, TemplateId};
use crate::leaving::TableChange;

/// A model, with adapter and version, that a client account's requests may use.
#[derive(Eq)]
#[derives::wire]
#[serde(deny_unknown_fields)]
pub struct ModelRule {
    /// The model's name in requests; rules with the same name are ranked alternatives.
    pub model: String,
    /// The model that engines load; empty if it has the same name.
    #[serde(default)]
    pub target: String,
    /// Adapter to apply to the model; empty for none.
    #[serde(default)]
    pub adapter: String,
    /// Version of the model; empty for any.
    #[serde(default)]
    pub version: String,
    /// Rank among the alternatives; lower ranks are tried first.
    #[serde(default)]
    pub rank: u32,
}

impl ModelRule {
    /// The name under which engines know the model.
    #[must_use]
    pub fn target(&self) -> &str {
        if self.target.is_empty() {
            return &self.model;
        }
        &self.target
    }
}

/// Whether calls of a service may be sent more than once.
#[derives::tag]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeatability {
    /// Calls are idempotent and may be retried.
    Idempotent,
    /// Calls run at most once and need an idempotency key.
    Once,
}

/// A service that a client account may call.
#[derive(Eq)]
#[derives::wire]
#[serde(deny_unknown_fields)]
pub struct ServiceRule {
    /// The service's name.
    pub service: String,
    /// Whether calls of the service may be sent more than once.
    pub calls: Repeatability,
}

/// An account template: the models and services that the client accounts with this template may
/// use, and their limits.
#[derive(Eq)]
#[derives::wire]
#[serde(deny_unknown_fields)]
pub struct AccountTemplate {
    /// The template's name.
    pub name: TemplateId,
    /// Permitted models.
    #[serde(default)]
    pub models: Vec<ModelRule>,
    /// Permitted services.
    #[serde(default)]
    pub services: Vec<ServiceRule>,
    /// Default limit on generated tokens, for requests that state none.
    #[serde(default = "default_output_tokens")]
    pub output_tokens: u64,
    /// Share of a pool, relative to other accounts.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_output_tokens() -> u64 {
    256
}

fn default_weight() -> u32 {
    1
}

impl AccountTemplate {
    /// Creates a template that permits no model or service.
    #[must_use]
    pub fn new(name: TemplateId) -> Self {
        Self {
            name,
            models: Vec::new(),
            services: Vec::new(),
            output_tokens: default_output_tokens(),
            weight: default_weight(),
        }
    }

    /// Permits a model under the name by which engines know it.
    #[must_use]
    pub fn with_model(mut self, model: &str) -> Self {
        self.models.push(ModelRule {
            model: model.to_owned(),
            target: String::new(),
            adapter: String::new(),
            version: String::new(),
            rank: 0,
        });
        self
    }

    /// Permits a service.
    #[must_use]
    pub fn with_service(mut self, service: &str, calls: Repeatability) -> Self {
        let service = service.to_owned();
        self.services.push(ServiceRule { service, calls });
        self
    }

    /// Sets the default limit on generated tokens.
    #[must_use]
    pub fn with_output_tokens(mut self, tokens: u64) -> Self {
        self.output_tokens = tokens;
        self
    }
}

/// A client account.
#[derive(Eq)]
#[derives::wire]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Name of the account.
    pub name: AccountId,
    /// SHA-256 digest of the API key, as 64 lower-case hexadecimal digits.
    pub key_sha256: String,
    /// Template of the account.
    pub template: TemplateId,
}

/// Content of a configuration document.
#[derive(Eq)]
#[derives::wire]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ConfigBody {
    /// An account template.
    Template(AccountTemplate),
    /// A client account.
    Account(ClientAccount),
    /// The document was deleted.
    Deleted,
}

/// One version of a configuration document.
#[derive(Eq)]
#[derives::wire]
pub struct ConfigDocument {
    /// Key in the key-value service, such as `config/templates/default`.
    pub key: String,
    /// Revision of the key-value service at which this version was written.
    pub version: u64,
    /// Unique id of the change that wrote this version.
    pub change: String,
    /// Content of the document.
    pub body: ConfigBody,
}

/// Key prefix of all configuration documents.
pub const CONFIG_PREFIX: &str = "config/";

/// The key of a template's document.
#[must_use]
pub fn template_key(template: &TemplateId) -> String {
    format!("{CONFIG_PREFIX}templates/{template}")
}

/// The key of a client account's document.
#[must_use]
pub fn account_key(account: &AccountId) -> String {
    format!("{CONFIG_PREFIX}accounts/{account}")
}

/// Validation error in a document that an operator submits.
#[derives::value]
pub struct DocumentError {
    /// Path of the invalid member.
    pub path: String,
    /// What the member must contain.
    pub expected: &'static str,
}

/// Validates a template before it is written.
///
/// # Errors
///
/// Returns the first invalid member.
pub fn check_template(template: &AccountTemplate) -> Result<(), DocumentError> {
    let invalid = |path: String, expected| Err(DocumentError { path, expected });
    if !is_plain_name(template.name.as_str()) {
        return invalid("name".to_owned(), "letters, digits, '-', '_' or '.'");
    }
    if template.weight == 0 {
        return invalid("weight".to_owned(), "a whole number of at least 1");
    }
    if template.output_tokens == 0 {
        return invalid("output_tokens".to_owned(), "a whole number of at least 1");
    }
    for (index, rule) in template.models.iter().enumerate() {
        if rule.model.is_empty() {
            return invalid(format!("models[{index}].model"), "a model's name");
        }
    }
    for (index, rule) in template.services.iter().enumerate() {
        if !is_plain_name(&rule.service) {
            return invalid(format!("services[{index}].service"), "a service's name");
        }
    }
    Ok(())
}

/// Validates a client account before it is written.
///
/// # Errors
///
/// Returns the first invalid member.
pub fn check_account(account: &ClientAccount) -> Result<(), DocumentError> {
    let invalid = |path: &str, expected| {
        Err(DocumentError {
            path: path.to_owned(),
            expected,
        })
    };
    if !is_plain_name(account.name.as_str()) {
        return invalid("name", "letters, digits, '-', '_' or '.'");
    }
    let digest = &account.key_sha256;
    let is_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    if digest.len() != 64 || !digest.bytes().all(is_hex) {
        return invalid("key_sha256", "64 lower-case hexadecimal digits");
    }
    if !is_plain_name(account.template.as_str()) {
        return invalid("template", "a template's name");
    }
    Ok(())
}

fn is_plain_name(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    !text.is_empty() && text.len() <= 128 && text.bytes().all(is_allowed)
}

fn document_hash(document: &ConfigDocument) -> u64 {
    xxh3_64_with_seed(document.key.as_bytes(), document.version)
}

/// The configuration documents that this instance knows.
///
/// Invariant: the version of a document never decreases, whether updates come from the platform or
/// from peers and in whatever order.
#[derive(Debug, Default)]
pub struct ConfigStore {
    documents: BTreeMap<String, ConfigDocument>,
    accounts_by_key: HashMap<String, AccountId>,
    version: u64,
    digest: u64,
}

impl ConfigStore {
    /// Creates an empty store at version zero.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The rules of `template` for one model, the lowest rank first.
    #[must_use]
    pub fn ranked_rules<'a>(template: &'a AccountTemplate, model: &str) -> Vec<&'a ModelRule> {
        let mut rules: Vec<&ModelRule> = template
            .models
            .iter()
            .filter(|rule| rule.model == model)
            .collect();
        rules.sort_by_key(|rule| rule.rank);
        rules
    }

    /// The highest version of all documents.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// A hash of the keys and versions of all documents, independent of the order of updates.
    ///
    /// Unlike the highest version, the digest also differs if a document in between is missing.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Applies a document from the platform or a peer; a version that is not newer changes nothing.
    pub fn apply(&mut self, document: &ConfigDocument) -> TableChange {
        self.version = self.version.max(document.version);
        if let Some(known) = self.documents.get(&document.key) {
            if known.version >= document.version {
                return TableChange::Unchanged;
            }
            self.digest = self.digest.wrapping_sub(document_hash(known));
            if let ConfigBody::Account(account) = &known.body {
                self.accounts_by_key.remove(&account.key_sha256);
            }
        }
        if let ConfigBody::Account(account) = &document.body {
            self.accounts_by_key
                .insert(account.key_sha256.clone(), account.name.clone());
        }
        self.digest = self.digest.wrapping_add(document_hash(document));
        self.documents
            .insert(document.key.clone(), document.clone());
        TableChange::Changed
    }

    /// The documents with a version above `version`, the oldest first.
    #[must_use]
    pub fn since(&self, version: u64) -> Vec<ConfigDocument> {
        let mut documents: Vec<ConfigDocument> = self
            .documents
            .values()
            .filter(|document| document.version > version)
            .cloned()
            .collect();
        documents.sort_by_key(|document| document.version);
        documents
    }

    /// The document under `key`, which may be a deletion.
    #[must_use]
    pub fn document(&self, key: &str) -> Option<&ConfigDocument> {
        self.documents.get(key)
    }

    /// All documents in the order of their keys, with deletions.
    pub fn iter(&self) -> impl Iterator<Item = &ConfigDocument> {
        self.documents.values()
    }

    /// The template with this name; `None` if it does not exist or was deleted.
    #[must_use]
    pub fn template(&self, template: &TemplateId) -> Option<&AccountTemplate> {
        match &self.documents.get(&template_key(template))?.body {
            ConfigBody::Template(template) => Some(template),
            _ => None,
        }
    }

    /// The client account whose API key has this SHA-256 digest, in hexadecimal.
    #[must_use]
    pub fn account_by_key(&self, key_sha256: &str) -> Option<&ClientAccount> {
        let name = self.accounts_by_key.get(key_sha256)?;
        match &self.documents.get(&account_key(name))?.body {
            ConfigBody::Account(account) => Some(account),
            _ => None,
        }
    }
}
