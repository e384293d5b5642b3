//! Operator and consumers.

use std::{
    io,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Answer},
    world::{Record, wait_for},
};

/// A configuration with the routes of a small deployment.
pub fn config(version: u64, more_routes: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"read","host":"m.example","prefix":"/read/","type":"stream","timeout_ms":15000,"slo_ms":1000,"prio":1,"service":"models","attempts":1,"sticky":true,"can_resume":true,"itl_slo_ms":400}},
{{"name":"sort","host":"m.example","prefix":"/sort/","type":"stream","timeout_ms":15000,"slo_ms":1000,"prio":1,"service":"models","attempts":2,"sticky":true,"can_resume":true,"itl_slo_ms":400}},
{{"name":"book","host":"d.example","prefix":"/book/","type":"non_idempotent","timeout_ms":3000,"slo_ms":300,"prio":2,"service":"desk","attempts":1}},
{{"name":"look","host":"d.example","prefix":"/look/","type":"idempotent","timeout_ms":3000,"slo_ms":300,"prio":2,"service":"desk","attempts":2}}{more_routes}],
"services":[{{"name":"models","health_path":"/healthz","max_conns":370,"proto":"h1","tls":false,"runtime":{{"slots":64,"kv_cap":150252,"kv_bytes":327680,"link_mbps":740000.0,"moves":true,"backups":true,"stride":3,"cap":12,"host_mb":140000.0,"disk_mb":400000.0,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{{"name":"base1","weights_mb":72700.0,"load_s":0.61,"loras":3000,"lora_mb":66.0,"warm_s":0.6,"disk_load_s":0.78}}],"weights_mb":74600.0,"lora_slots":6,"loads_per_s":2.4}}}},
{{"name":"desk","health_path":"/healthz","max_conns":110,"proto":"h1","tls":false}}],
"limits":{{"hdr_bytes":16384,"body_bytes":4194304,"hdr_ms":3000,"idle_ms":15000}}}}"#
    )
}

/// Sends an operator's call to one machine after the other until it is acknowledged.
pub fn submit(
    controls: &[String],
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
    record: &Record,
) -> bool {
    let mut next = 0;
    wait_for(limit, || {
        let addr = &controls[next % controls.len()];
        next += 1;
        let json = [("Content-Type", "application/json")];
        let sent = http::call(addr, method, path, &json, body.as_bytes(), Duration::from_secs(1));
        let is_acked = matches!(&sent, Ok(a) if a.status == 200);
        if is_acked {
            record.line(format!("{method} {path} is acknowledged by {addr}"));
        }
        is_acked
    })
}

/// Request of a consumer.
pub struct Request<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub deadline: Duration,
    pub headers: Vec<(&'a str, String)>,
    pub body: &'a [u8],
}

impl<'a> Request<'a> {
    pub fn stream(
        path: &'a str,
        id: &'a str,
        model: &str,
        prompt: &str,
        deadline: Duration,
    ) -> Self {
        let headers = vec![
            ("X-Model", model.to_owned()),
            ("X-Token-Count", "200,60".to_owned()),
            ("X-Prompt-Prefix", prompt.to_owned()),
        ];
        Self { method: "POST", host: "m.example", path, id, deadline, headers, body: b"prompt" }
    }

    /// Sends it on a new channel.
    pub fn send(&self, front: &str, record: &Record) -> io::Result<Answer> {
        self.send_watched(front, record, &mut |_| ())
    }

    pub fn send_watched(
        &self,
        front: &str,
        record: &Record,
        on_part: &mut dyn FnMut(&[u8]),
    ) -> io::Result<Answer> {
        let end = Instant::now() + self.deadline;
        let deadline = self.deadline.as_millis().to_string();
        let mut headers = vec![
            ("Host", self.host),
            ("X-Request-Id", self.id),
            ("X-Deadline-Ms", deadline.as_str()),
            ("Content-Type", "text/plain"),
        ];
        headers.extend(self.headers.iter().map(|(n, v)| (*n, v.as_str())));
        record.line(format!("consumer sends {} {} {} to {front}", self.id, self.method, self.path));
        let sent = (|| {
            let mut stream = http::connect(front, Duration::from_secs(1))?;
            http::write_request(&mut stream, self.method, self.path, &headers, self.body)?;
            Ok(http::read_answer(stream, end, on_part)?.0)
        })();
        match &sent {
            Ok(a) => record.line(format!(
                "consumer gets {} for {}: {}{}",
                a.status,
                self.id,
                if a.is_complete { "whole" } else { "broken off" },
                if a.error.is_empty() { String::new() } else { format!(" ({})", a.error) }
            )),
            Err(e) => record.line(format!("consumer gets no answer for {}: {e}", self.id)),
        }
        sent
    }
}

/// Ids and data of the events of a stream, as far as they are whole.
pub fn events(body: &[u8]) -> Vec<(u64, String)> {
    let text = String::from_utf8_lossy(body).into_owned();
    let whole = text.rfind("\n\n").map_or("", |end| &text[..end + 2]);
    let blocks = whole.split("\n\n").filter(|b| !b.is_empty());
    blocks
        .filter_map(|block| {
            let value =
                |name: &str| block.lines().find_map(|l| l.strip_prefix(name)).map(str::trim);
            Some((value("id:")?.parse().ok()?, value("data:")?.to_owned()))
        })
        .collect()
}
