//! Configurations of the operator.

pub const HOST: &str = "kitchen.example";

pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub is_resumable: bool,
    pub timeout_ms: u64,
    pub slo_ms: u64,
    pub gap_aim_ms: u64,
    pub attempts: u32,
}

pub struct Config {
    pub version: u64,
    pub routes: Vec<Route>,
    /// Name of each service, and the memory of its engines in tokens, if it has any.
    pub services: Vec<(&'static str, Option<u64>)>,
    pub keys: Vec<String>,
}

impl Config {
    pub fn to_json(&self) -> String {
        let routes: Vec<String> = self.routes.iter().map(Route::to_json).collect();
        let service = |(name, memory): &(&str, Option<u64>)| {
            let engine = memory.map_or_else(String::new, |memory| format!(
                r#","engine":{{"slots":16,"kvCapacity":{memory},"stride":51,"step_ms":0.85,"per_seq_ms":0.00425,"context_per_k":0.00285,"read_per_s":177000.0,"pairs_per_m":0.184,"chunk":2048,"hopMs":0.05,"usual":{{"prompt":5000,"answer":1600}},"report_lag_ms":200}}"#
            ));
            format!(
                r#"{{"name":"{name}","healthPath":"/healthz","maxConns":354,"protocol":"h1","tls":false{engine}}}"#
            )
        };
        let services: Vec<String> = self.services.iter().map(service).collect();
        let keys: Vec<String> = self.keys.iter().map(|key| format!("\"{key}\"")).collect();
        format!(
            r#"{{"version":{},"routes":[{}],"services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"family","apiKeys":[{}],"priority":1}}]}}"#,
            self.version,
            routes.join(","),
            services.join(","),
            keys.join(",")
        )
    }
}

impl Route {
    fn to_json(&self) -> String {
        let Route {
            prefix,
            kind,
            service,
            is_resumable,
            timeout_ms,
            slo_ms,
            gap_aim_ms,
            attempts,
        } = self;
        let name = prefix.trim_matches('/');
        format!(
            r#"{{"name":"{name}","host":"{HOST}","prefix":"{prefix}","kind":"{kind}","timeoutMs":{timeout_ms},"sloMs":{slo_ms},"gapAimMs":{gap_aim_ms},"priority":1,"backend":"{service}","attempts":{attempts},"public":false,"resumable":{is_resumable},"sticky":true}}"#
        )
    }
}

/// A client's request.
pub struct ClientRequest<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    pub key: &'a str,
    /// Further header lines.
    pub lines: &'a str,
    pub body: &'a str,
}

impl ClientRequest<'_> {
    pub fn to_bytes(&self) -> Vec<u8> {
        let ClientRequest {
            method,
            path,
            id,
            deadline_ms,
            key,
            lines,
            body,
        } = self;
        format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\nAuthorization: Token {key}\r\n{lines}Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .into_bytes()
    }
}
