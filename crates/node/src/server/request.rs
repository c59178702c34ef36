//! Parses the head of a client's job into a [`JobRequest`].

use std::rc::Rc;

use bytes::Bytes;
use curlewusher_core::{ClassId, Idempotency, TenantId, TimeSpan, Timestamp, stable_hash};
use curlewusher_settings::Site;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Uri};
use tokio::sync::oneshot;

use super::error::RequestError;
use crate::dispatch::{JobHandle, JobResponse, SubmittedJob};
use crate::upstream::{IDEMPOTENCY_KEY, RequestPayload, X_DEADLINE, X_REQUEST_ID};

const X_CLASS: HeaderName = HeaderName::from_static("x-class");
const X_TENANT: HeaderName = HeaderName::from_static("x-tenant");
const X_RETRY: HeaderName = HeaderName::from_static("x-retry");
const X_COST_HINT: HeaderName = HeaderName::from_static("x-cost-hint");
const X_EXTRAS: HeaderName = HeaderName::from_static("x-extras");

/// Path of jobs without an affinity key; one with a key has `/KEY` behind it.
const JOBS_PATH: &str = "/api";
/// Longest X-Request-Id, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;
/// Characters of an X-Request-Id besides ASCII letters and digits: those that stand in a path as they are.
const REQUEST_ID_PUNCTUATION: &[u8] = b"-._~:@!$&'()*+,;=";
/// Longest path with its query, in bytes.
const MAX_PATH_BYTES: usize = 2048;
/// Largest X-Deadline, in seconds: no client waits for longer.
const MAX_DEADLINE_SECONDS: f64 = 86_400.0;
/// X-Cost-Hint is in microseconds.
const MICROS_PER_SECOND: f64 = 1e6;
/// Slots that a job may request.
const ALLOWED_SLOTS: std::ops::RangeInclusive<f64> = 1.0..=64.0;
/// Slots of a job that requests none.
const DEFAULT_SLOTS: f64 = 1.0;

/// The classes and tenants that requests can name.
pub struct JobCatalog {
    classes: Vec<JobClass>,
    /// Names of the tenants; with none of them all jobs share one quota.
    tenants: Vec<String>,
}

/// A class of jobs.
struct JobClass {
    name: String,
    requires_idempotency_key: bool,
}

impl JobCatalog {
    /// The classes and tenants of the configuration.
    pub fn new(site: &Site) -> JobCatalog {
        let classes = site.class_names.iter().zip(&site.dispatcher.classes);
        let classes = classes.map(|(name, class)| JobClass {
            name: name.clone(),
            requires_idempotency_key: matches!(class.idempotency, Idempotency::WithKey { .. }),
        });
        JobCatalog { classes: classes.collect(), tenants: site.tenant_names.clone() }
    }

    fn class(&self, name: &str) -> Result<ClassId, RequestError> {
        let index = self.classes.iter().position(|class| class.name == name);
        index.map(ClassId).ok_or_else(|| RequestError::UnknownClass(name.to_owned()))
    }

    /// The tenant whose quota a job counts against: by name, or by its index in the configuration. Where
    /// there are tenants the header is mandatory, since a job of no tenant would count against no quota.
    fn tenant(&self, name: Option<&str>) -> Result<TenantId, RequestError> {
        if self.tenants.is_empty() {
            return Ok(TenantId(0));
        }
        let name = name.ok_or(RequestError::MissingHeader(X_TENANT))?;
        let by_index = || name.parse().ok().filter(|index| *index < self.tenants.len());
        let index = self.tenants.iter().position(|tenant| tenant == name).or_else(by_index);
        index.map(TenantId).ok_or_else(|| RequestError::UnknownTenant(name.to_owned()))
    }
}

/// Whether jobs are submitted at this path: `/api/KEY`, or `/api` where jobs have no affinity key.
pub fn is_job_path(path: &str) -> bool {
    path.strip_prefix(JOBS_PATH)
        .is_some_and(|rest| rest.is_empty() || rest.len() > 1 && rest.starts_with('/'))
}

/// The head of a client's job.
pub struct JobRequest {
    /// X-Request-Id.
    pub request_id: Rc<str>,
    class: ClassId,
    tenant: TenantId,
    deadline: Timestamp,
    /// The client's estimate of the work, in seconds.
    cost_hint: Option<f64>,
    slots: f64,
    /// Hash of the last segment of the path, the same at every node.
    affinity_key: Option<u64>,
    /// Whether the client has sent this job before.
    is_retry: bool,
    /// What is passed on to the worker, beside the body.
    forwarded: ForwardedHead,
}

/// The parts of a job's head that are forwarded to a worker unchanged.
struct ForwardedHead {
    method: Method,
    path: PathAndQuery,
    request_id: HeaderValue,
    idempotency_key: Option<HeaderValue>,
    content_type: Option<HeaderValue>,
}

impl JobRequest {
    /// Parses the head of a job that was received at that time.
    pub fn parse(
        head: Parts,
        catalog: &JobCatalog,
        received_at: Timestamp,
    ) -> Result<JobRequest, RequestError> {
        let headers = &head.headers;
        let request_id = parse_request_id(headers)?;
        let class = catalog.class(required_text(headers, X_CLASS)?)?;
        let tenant = catalog.tenant(optional_text(headers, &X_TENANT)?)?;
        let idempotency_key = parse_idempotency_key(headers, catalog, class)?;
        let deadline = parse_deadline(headers, received_at)?;
        let cost_hint = parse_cost_hint(headers)?;
        let slots = parse_slots(headers)?;
        let is_retry = optional_text(headers, &X_RETRY)? == Some("1");
        optional_text(headers, &CONTENT_TYPE)?;
        let path = parse_path(&head.uri)?;
        let affinity_key = affinity_key(path.path());
        let forwarded = ForwardedHead {
            request_id: headers[X_REQUEST_ID].clone(),
            idempotency_key,
            content_type: headers.get(CONTENT_TYPE).cloned(),
            method: head.method,
            path,
        };
        Ok(JobRequest {
            request_id,
            class,
            tenant,
            deadline,
            cost_hint,
            slots,
            affinity_key,
            is_retry,
            forwarded,
        })
    }

    /// The message with which the job is submitted to the dispatch task, which answers on `response_channel`.
    pub fn into_submission(
        self,
        body: Bytes,
        job_handle: JobHandle,
        response_channel: oneshot::Sender<JobResponse>,
    ) -> SubmittedJob<RequestPayload> {
        SubmittedJob {
            request_id: self.request_id,
            class: self.class,
            tenant: self.tenant,
            deadline: self.deadline,
            cost_hint: self.cost_hint,
            slots: self.slots,
            affinity_key: self.affinity_key,
            is_retry: self.is_retry,
            payload: self.forwarded.into_payload(body),
            job_handle,
            response_channel,
        }
    }
}

impl ForwardedHead {
    /// What a worker gets. The path is in origin form, without a scheme and a host.
    fn into_payload(self, body: Bytes) -> RequestPayload {
        RequestPayload {
            method: self.method,
            path: self.path.into(),
            request_id: self.request_id,
            idempotency_key: self.idempotency_key,
            content_type: self.content_type,
            body,
        }
    }
}

/// The id of a job. It must stand in a path as it is: the request that cancels the job has it there.
fn parse_request_id(headers: &HeaderMap) -> Result<Rc<str>, RequestError> {
    let request_id = required_text(headers, X_REQUEST_ID)?;
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || REQUEST_ID_PUNCTUATION.contains(&byte);
    let is_valid = !request_id.is_empty()
        && request_id.len() <= MAX_REQUEST_ID_BYTES
        && request_id.bytes().all(is_allowed)
        && request_id != "."
        && request_id != "..";
    if is_valid { Ok(request_id.into()) } else { Err(RequestError::MalformedHeader(X_REQUEST_ID)) }
}

/// The idempotency key, which jobs of some classes need.
fn parse_idempotency_key(
    headers: &HeaderMap,
    catalog: &JobCatalog,
    class: ClassId,
) -> Result<Option<HeaderValue>, RequestError> {
    optional_text(headers, &IDEMPOTENCY_KEY)?;
    let key = headers.get(IDEMPOTENCY_KEY).cloned();
    if catalog.classes[class.0].requires_idempotency_key && key.is_none() {
        return Err(RequestError::MissingHeader(IDEMPOTENCY_KEY));
    }
    Ok(key)
}

/// When the client stops waiting. X-Deadline counts in seconds from the arrival of the head.
fn parse_deadline(headers: &HeaderMap, received_at: Timestamp) -> Result<Timestamp, RequestError> {
    let seconds = optional_number(headers, &X_DEADLINE, MAX_DEADLINE_SECONDS)?;
    let seconds = seconds.ok_or(RequestError::MissingHeader(X_DEADLINE))?;
    Ok(received_at + TimeSpan::from_secs_f64(seconds))
}

/// The client's estimate of the work, in seconds.
fn parse_cost_hint(headers: &HeaderMap) -> Result<Option<f64>, RequestError> {
    let micros = optional_number(headers, &X_COST_HINT, MAX_DEADLINE_SECONDS * MICROS_PER_SECOND)?;
    Ok(micros.map(|micros| micros / MICROS_PER_SECOND))
}

/// How many slots of a worker the job occupies.
fn parse_slots(headers: &HeaderMap) -> Result<f64, RequestError> {
    let slots = parse_extra(headers, "slots")?.unwrap_or(DEFAULT_SLOTS);
    if ALLOWED_SLOTS.contains(&slots) { Ok(slots) } else { Err(RequestError::ImpossibleSlots) }
}

/// One of the figures of X-Extras, a list of `name=figure`; the last one of that name counts.
fn parse_extra(headers: &HeaderMap, wanted: &str) -> Result<Option<f64>, RequestError> {
    let Some(extras) = optional_text(headers, &X_EXTRAS)? else { return Ok(None) };
    let mut found = None;
    for pair in extras.split(',').map(str::trim).filter(|pair| !pair.is_empty()) {
        let (name, value) = parse_figure(pair).ok_or(RequestError::MalformedHeader(X_EXTRAS))?;
        if name == wanted {
            found = Some(value);
        }
    }
    Ok(found)
}

/// Parses `name=figure`; the figure is finite and not negative.
fn parse_figure(pair: &str) -> Option<(&str, f64)> {
    let (name, value) = pair.split_once('=')?;
    let value = value.parse::<f64>().ok()?;
    (value.is_finite() && value >= 0.0).then_some((name, value))
}

/// The path with its query.
fn parse_path(uri: &Uri) -> Result<PathAndQuery, RequestError> {
    let path = uri.path_and_query().filter(|path| path.as_str().is_ascii());
    let path = path.ok_or(RequestError::MalformedPath)?;
    if path.as_str().len() > MAX_PATH_BYTES {
        return Err(RequestError::PathTooLong);
    }
    Ok(path.clone())
}

/// Hash of the last segment of a job's path, by which jobs that concern the same thing go to the same worker.
/// None where the path has no segment behind [`JOBS_PATH`].
fn affinity_key(path: &str) -> Option<u64> {
    let key = path.strip_prefix(JOBS_PATH)?.rsplit('/').next()?;
    (!key.is_empty()).then(|| stable_hash(key))
}

/// The text of a header that must be there.
fn required_text(headers: &HeaderMap, name: HeaderName) -> Result<&str, RequestError> {
    optional_text(headers, &name)?.ok_or(RequestError::MissingHeader(name))
}

/// The text of a header that may appear once.
fn optional_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, RequestError> {
    let mut values = headers.get_all(name).into_iter();
    match (values.next(), values.next()) {
        (_, Some(_)) => Err(RequestError::RepeatedHeader(name.clone())),
        (Some(value), None) => match value.to_str() {
            Ok(text) => Ok(Some(text)),
            Err(_) => Err(RequestError::MalformedHeader(name.clone())),
        },
        (None, None) => Ok(None),
    }
}

/// A header with a figure from 0 to `max`.
fn optional_number(headers: &HeaderMap, name: &HeaderName, max: f64) -> Result<Option<f64>, RequestError> {
    let Some(text) = optional_text(headers, name)? else { return Ok(None) };
    match text.parse::<f64>() {
        Ok(number) if (0.0..=max).contains(&number) => Ok(Some(number)),
        Ok(_) | Err(_) => Err(RequestError::MalformedHeader(name.clone())),
    }
}
