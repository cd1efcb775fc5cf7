//! Routes from host and path to a class of task, in versions that only rise.

use std::collections::HashMap;
use verbenapass::id;
use verbenapass::unit::{Bytes, Millis, Permille};

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Class of the tasks.
    pub kind: id::Kind,
    /// Host of the requests, in lower case.
    pub host: String,
    /// Beginning of the paths.
    pub prefix: String,
    /// Service that runs the tasks.
    pub service: id::Service,
    /// Failed runs of a task after which its job has failed.
    pub attempts: u32,
    /// Importance; 0 is the highest.
    pub priority: u32,
    /// Objective: this many times the longest task, and `slack` more.
    pub stretch: Permille,
    /// See `stretch`.
    pub slack: Millis,
}

/// All routes of one version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    version: id::Version,
    routes: HashMap<String, Vec<Route>>,
    max_body: Bytes,
}

impl Table {
    /// Makes a table.
    pub fn new(version: id::Version, routes: Vec<Route>, max_body: Bytes) -> Self {
        let mut by_host: HashMap<String, Vec<Route>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { version, routes: by_host, max_body }
    }

    /// Returns the version.
    pub fn version(&self) -> id::Version {
        self.version
    }

    /// Returns the largest body of a request.
    pub fn max_body(&self) -> Bytes {
        self.max_body
    }

    /// Returns the route with the longest prefix of a path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes.get(host.to_ascii_lowercase().as_str())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}

/// The newest table that this process has seen.
#[derive(Clone, Debug, Default)]
pub struct Replica(Option<Table>);

impl Replica {
    /// Makes a replica without a table.
    pub fn new() -> Self {
        Self(None)
    }

    /// Takes a table if it is newer. Returns whether it was.
    pub fn offer(&mut self, table: Table) -> bool {
        let is_newer = self.0.as_ref().is_none_or(|own| table.version > own.version);
        if is_newer {
            self.0 = Some(table);
        }
        is_newer
    }

    /// Returns the table in force.
    pub fn table(&self) -> Option<&Table> {
        self.0.as_ref()
    }
}
