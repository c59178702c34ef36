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

/// Path of jobs without an affinity key. Jobs with a key append `/KEY`.
const JOBS_PATH: &str = "/api";
/// Maximum length of an X-Request-Id, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;
/// Characters allowed in an X-Request-Id besides ASCII letters and digits: those that need no escaping in a
/// path.
const REQUEST_ID_PUNCTUATION: &[u8] = b"-._~:@!$&'()*+,;=";
/// Maximum length of a path with its query, in bytes.
const MAX_PATH_BYTES: usize = 2048;
/// Maximum value of X-Deadline, in seconds. No client waits for longer than a day. X-Cost-Hint has the same
/// limit.
const MAX_DEADLINE_SECONDS: f64 = 86_400.0;
/// Microseconds per second, to convert X-Cost-Hint, which is in microseconds.
const MICROS_PER_SECOND: f64 = 1e6;
/// Range of the number of slots that a job may request.
const ALLOWED_SLOTS: std::ops::RangeInclusive<f64> = 1.0..=64.0;
/// Number of slots of a job that does not request a number.
const DEFAULT_SLOTS: f64 = 1.0;

/// The configured classes and tenants, against which requests are validated.
pub struct JobCatalog {
    classes: Vec<JobClass>,
    /// Names of the tenants. If there are none, all jobs share one quota.
    tenants: Vec<String>,
}

/// A class of jobs.
struct JobClass {
    name: String,
    requires_idempotency_key: bool,
}

impl JobCatalog {
    /// Creates the catalog of the configured classes and tenants.
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

    /// Returns the tenant whose quota the job counts against. The header holds the tenant's name or its index
    /// in the configuration. If tenants are configured, the header is mandatory, since a job without a tenant
    /// would count against no quota.
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

/// Returns whether jobs are submitted at this path: `/api/KEY`, or `/api` for jobs without an affinity key.
pub fn is_job_path(path: &str) -> bool {
    path.strip_prefix(JOBS_PATH)
        .is_some_and(|rest| rest.is_empty() || rest.len() > 1 && rest.starts_with('/'))
}

/// The head of a client's job.
pub struct JobRequest {
    /// Value of X-Request-Id.
    pub request_id: Rc<str>,
    class: ClassId,
    tenant: TenantId,
    deadline: Timestamp,
    /// Work of the job as estimated by the client, in seconds.
    cost_hint: Option<f64>,
    slots: f64,
    /// Hash of the last segment of the path. All nodes compute the same hash.
    affinity_key: Option<u64>,
    /// Whether the client marks the job as a retry.
    is_retry: bool,
    /// Parts of the request that are forwarded to the worker, besides the body.
    forwarded: ForwardedHead,
}

/// Parts of a job's head that are forwarded to a worker unchanged.
struct ForwardedHead {
    method: Method,
    path: PathAndQuery,
    request_id: HeaderValue,
    idempotency_key: Option<HeaderValue>,
    content_type: Option<HeaderValue>,
}

impl JobRequest {
    /// Parses the head of a job that was received at `received_at`.
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
            request_id: copy_header(&headers[X_REQUEST_ID]),
            idempotency_key: idempotency_key.as_ref().map(copy_header),
            content_type: headers.get(CONTENT_TYPE).map(copy_header),
            method: head.method,
            path: copy_path(&path),
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

    /// Converts the request into its submission to the dispatch task, which sends the response on
    /// `response_channel`.
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
    /// Builds the request to a worker. The path is in origin form, without scheme and host.
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

/// Copies a header out of the connection's read buffer, which the original keeps alive as a whole.
fn copy_header(value: &HeaderValue) -> HeaderValue {
    HeaderValue::from_bytes(value.as_bytes()).unwrap_or_else(|_| value.clone())
}

/// Copies a path out of the connection's read buffer, which the original keeps alive as a whole.
fn copy_path(path: &PathAndQuery) -> PathAndQuery {
    PathAndQuery::try_from(path.as_str()).unwrap_or_else(|_| path.clone())
}

/// Parses the id of a job. The id must need no escaping in a path, since the request that cancels the job
/// contains it in its path.
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

/// Parses the idempotency key, which jobs of some classes require.
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

/// Parses the time at which the client stops waiting. X-Deadline is in seconds, counted from the arrival of
/// the head.
fn parse_deadline(headers: &HeaderMap, received_at: Timestamp) -> Result<Timestamp, RequestError> {
    let seconds = optional_number(headers, &X_DEADLINE, MAX_DEADLINE_SECONDS)?;
    let seconds = seconds.ok_or(RequestError::MissingHeader(X_DEADLINE))?;
    Ok(received_at + TimeSpan::from_secs_f64(seconds))
}

/// Parses the client's estimate of the work, and converts it from microseconds to seconds.
fn parse_cost_hint(headers: &HeaderMap) -> Result<Option<f64>, RequestError> {
    let micros = optional_number(headers, &X_COST_HINT, MAX_DEADLINE_SECONDS * MICROS_PER_SECOND)?;
    Ok(micros.map(|micros| micros / MICROS_PER_SECOND))
}

/// Parses the number of slots of a worker that the job occupies.
fn parse_slots(headers: &HeaderMap) -> Result<f64, RequestError> {
    let slots = parse_extra(headers, "slots")?.unwrap_or(DEFAULT_SLOTS);
    if ALLOWED_SLOTS.contains(&slots) { Ok(slots) } else { Err(RequestError::SlotsOutOfRange) }
}

/// Parses a value of X-Extras, a list of `name=number`. The last value with the name counts.
fn parse_extra(headers: &HeaderMap, wanted: &str) -> Result<Option<f64>, RequestError> {
    let Some(extras) = optional_text(headers, &X_EXTRAS)? else { return Ok(None) };
    let mut found = None;
    for pair in extras.split(',').map(str::trim).filter(|pair| !pair.is_empty()) {
        let (name, value) = parse_pair(pair).ok_or(RequestError::MalformedHeader(X_EXTRAS))?;
        if name == wanted {
            found = Some(value);
        }
    }
    Ok(found)
}

/// Parses `name=number`. The number must be finite and not negative.
fn parse_pair(pair: &str) -> Option<(&str, f64)> {
    let (name, value) = pair.split_once('=')?;
    let value = value.parse::<f64>().ok()?;
    (value.is_finite() && value >= 0.0).then_some((name, value))
}

/// Returns the path with its query.
fn parse_path(uri: &Uri) -> Result<PathAndQuery, RequestError> {
    let path = uri.path_and_query().filter(|path| path.as_str().is_ascii());
    let path = path.ok_or(RequestError::MalformedPath)?;
    if path.as_str().len() > MAX_PATH_BYTES {
        return Err(RequestError::PathTooLong);
    }
    Ok(path.clone())
}

/// Returns the hash of the last segment of a job's path after [`JOBS_PATH`], or `None` if that segment is
/// missing or empty. Jobs with the same affinity key use the same data and are preferably sent to the same
/// workers.
fn affinity_key(path: &str) -> Option<u64> {
    let key = path.strip_prefix(JOBS_PATH)?.rsplit('/').next()?;
    (!key.is_empty()).then(|| stable_hash(key))
}

/// Returns the text of a required header.
fn required_text(headers: &HeaderMap, name: HeaderName) -> Result<&str, RequestError> {
    optional_text(headers, &name)?.ok_or(RequestError::MissingHeader(name))
}

/// Returns the text of a header that may appear at most once.
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

/// Parses a header with a number from 0 to `max`.
fn optional_number(headers: &HeaderMap, name: &HeaderName, max: f64) -> Result<Option<f64>, RequestError> {
    let Some(text) = optional_text(headers, name)? else { return Ok(None) };
    match text.parse::<f64>() {
        Ok(number) if (0.0..=max).contains(&number) => Ok(Some(number)),
        Ok(_) | Err(_) => Err(RequestError::MalformedHeader(name.clone())),
    }
}
