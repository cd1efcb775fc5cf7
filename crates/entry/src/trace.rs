//! Trace spans for the hops of a request, exported over OTLP or written to a file.
//!
//! A request with a sampled W3C trace context is traced; one without a context is sampled at
//! random, at the rate in the settings. For all other requests no span is created, and a context is
//! passed on unchanged.

use crate::error;
use crate::settings;
use opentelemetry::trace::{
    Span as _, SpanBuilder, SpanContext, SpanId, SpanKind, Status, TraceContextExt, TraceFlags,
    TraceId, TraceState, Tracer as _, TracerProvider,
};
use opentelemetry::{Context, KeyValue};
use opentelemetry_otlp::{WithExportConfig, WithHttpConfig};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::error::{OTelSdkError, OTelSdkResult};
use opentelemetry_sdk::trace::{Sampler, SdkTracer, SdkTracerProvider, SpanData, SpanExporter};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::fs::File;
use std::io::{LineWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};
use verbenapass::id;

/// Name of the instrumentation scope.
const SCOPE: &str = "verbenapass-entry";
/// Value of the setting `trace.file` for the standard error stream.
const STDERR: &str = "-";

/// Creates spans; the default one creates none. Clones share their outputs.
#[derive(Clone, Debug, Default)]
pub struct Tracer(Option<Arc<Inner>>);

#[derive(Debug)]
struct Inner {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
    sample_permille: u32,
}

/// A span, or a placeholder without effect for a request that is not traced. It ends when dropped.
#[derive(Debug, Default)]
pub struct Span(Option<Box<opentelemetry_sdk::trace::Span>>);

impl Tracer {
    /// Opens the outputs in the settings. Without any, nothing is traced. `instance` is an
    /// attribute of the exported resource.
    pub fn new(settings: &settings::Trace, instance: &id::Instance) -> Result<Self, error::Daemon> {
        if settings.endpoint.is_none() && settings.file.is_none() {
            return Ok(Self(None));
        }
        let resource = Resource::builder()
            .with_service_name(SCOPE)
            .with_attribute(KeyValue::new("service.instance.id", instance.to_string()))
            .build();
        let mut builder =
            SdkTracerProvider::builder().with_resource(resource).with_sampler(Sampler::AlwaysOn);
        if let Some(file) = &settings.file {
            let log = SpanLog::open(file)
                .map_err(|error| error::Daemon::Output("trace file", error.to_string()))?;
            builder = builder.with_batch_exporter(log);
        }
        if let Some(endpoint) = &settings.endpoint {
            let exporter = opentelemetry_otlp::SpanExporter::builder()
                .with_http()
                .with_headers(std::collections::HashMap::new())
                .with_endpoint(endpoint)
                .build()
                .map_err(|error| error::Daemon::Output("trace endpoint", error.to_string()))?;
            builder = builder.with_batch_exporter(exporter);
        }
        let provider = builder.build();
        let tracer = provider.tracer(SCOPE);
        let sample_permille = settings.sample.get();
        Ok(Self(Some(Arc::new(Inner { provider, tracer, sample_permille }))))
    }

    /// Starts the first span of a request in this instance. A request without a trace context may
    /// be sampled.
    pub fn request(&self, name: &'static str, trace: Option<&str>) -> Span {
        let Some(inner) = &self.0 else { return Span(None) };
        match trace {
            Some(_) => self.child(name, SpanKind::Server, trace),
            None if rand::random_range(0..1_000) < inner.sample_permille => {
                inner.start(name, SpanKind::Server, &Context::new())
            }
            None => Span(None),
        }
    }

    /// Starts a child span of `trace`, if that context is present and sampled.
    pub fn child(&self, name: &'static str, kind: SpanKind, trace: Option<&str>) -> Span {
        let (Some(inner), Some(trace)) = (&self.0, trace) else { return Span(None) };
        match parse_context(trace) {
            Some(parent) if parent.is_sampled() => {
                inner.start(name, kind, &Context::new().with_remote_span_context(parent))
            }
            _ => Span(None),
        }
    }

    /// Writes all ended spans and closes the outputs. Later spans are lost.
    pub fn shut_down(&self) -> OTelSdkResult {
        self.0.as_ref().map_or(Ok(()), |inner| inner.provider.shutdown())
    }
}

impl Inner {
    fn start(&self, name: &'static str, kind: SpanKind, parent: &Context) -> Span {
        let builder = SpanBuilder::from_name(name).with_kind(kind);
        Span(Some(Box::new(self.tracer.build_with_context(builder, parent))))
    }
}

impl Span {
    /// Sets an attribute; does nothing if the request is not traced.
    pub fn set(&mut self, key: &'static str, value: &dyn Display) {
        if let Some(span) = &mut self.0 {
            span.set_attribute(KeyValue::new(key, value.to_string()));
        }
    }

    /// Sets the status of the span to an error with the given message.
    pub fn fail(&mut self, message: &dyn Display) {
        if let Some(span) = &mut self.0 {
            span.set_status(Status::error(message.to_string()));
        }
    }

    /// Returns the trace context for the next hop: that of this span, or `trace` unchanged if the
    /// request is not traced.
    pub fn context(&self, trace: Option<&Arc<str>>) -> Option<Arc<str>> {
        let Some(span) = &self.0 else { return trace.cloned() };
        let context = span.span_context();
        let (trace, span) = (context.trace_id(), context.span_id());
        Some(format!("00-{trace}-{span}-{:02x}", context.trace_flags().to_u8()).into())
    }
}

/// Parses a trace context whose syntax has been validated.
fn parse_context(trace: &str) -> Option<SpanContext> {
    let mut parts = trace.split('-').skip(1);
    let trace_id = TraceId::from_hex(parts.next()?).ok()?;
    let span_id = SpanId::from_hex(parts.next()?).ok()?;
    let flags = TraceFlags::new(u8::from_str_radix(parts.next()?, 16).ok()?);
    Some(SpanContext::new(trace_id, span_id, flags, true, TraceState::NONE))
}

/// Exporter that writes one line of JSON for each span.
struct SpanLog(Mutex<Box<dyn Write + Send>>);

/// One line of the trace file.
#[derive(Serialize)]
struct Line<'a> {
    trace: String,
    span: String,
    parent: Option<String>,
    name: &'a str,
    start_us: u64,
    end_us: u64,
    error: Option<&'a str>,
    attributes: BTreeMap<&'a str, String>,
}

impl SpanLog {
    fn open(file: &Path) -> std::io::Result<Self> {
        let output: Box<dyn Write + Send> = if file.as_os_str() == STDERR {
            Box::new(LineWriter::new(std::io::stderr()))
        } else {
            Box::new(LineWriter::new(File::options().create(true).append(true).open(file)?))
        };
        Ok(Self(Mutex::new(output)))
    }

    fn write(&self, batch: &[SpanData]) -> std::io::Result<()> {
        let mut output = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        for span in batch {
            serde_json::to_writer(&mut *output, &line(span))?;
            output.write_all(b"\n")?;
        }
        output.flush()
    }
}

impl std::fmt::Debug for SpanLog {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SpanLog")
    }
}

impl SpanExporter for SpanLog {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        self.write(&batch).map_err(|error| OTelSdkError::InternalFailure(error.to_string()))
    }
}

fn line(span: &SpanData) -> Line<'_> {
    let parent = span.parent_span_id;
    Line {
        trace: span.span_context.trace_id().to_string(),
        span: span.span_context.span_id().to_string(),
        parent: (parent != SpanId::INVALID).then(|| parent.to_string()),
        name: &span.name,
        start_us: micros(span.start_time),
        end_us: micros(span.end_time),
        error: match &span.status {
            Status::Error { description } => Some(description),
            Status::Unset | Status::Ok => None,
        },
        attributes: span
            .attributes
            .iter()
            .map(|pair| (pair.key.as_str(), pair.value.to_string()))
            .collect(),
    }
}

fn micros(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH).map_or(0, |span| span.as_micros() as u64)
}
