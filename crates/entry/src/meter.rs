//! Metrics. METRICS.md lists them with meaning and unit.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::sync::OnceLock;

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the recorder of the process on first use and returns its reader.
pub fn handle() -> &'static PrometheusHandle {
    HANDLE.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // Fails only if a recorder is already installed, whose metrics are then read elsewhere.
        let _ = metrics::set_global_recorder(recorder);
        handle
    })
}
