//! Routes from the host and path of a request to a kind of task, as a versioned table.

use std::collections::HashMap;
use verbenapass::id;
use verbenapass::unit::{Bytes, Millis, Permille};

/// Requests that a route matches, and how their jobs are run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Kind of the tasks, which also names the route.
    pub kind: id::Kind,
    /// Host of the requests, in lower case.
    pub host: String,
    /// Prefix of the paths of the requests; the longest match wins.
    pub prefix: String,
    /// Service whose targets run the tasks.
    pub service: id::Service,
    /// Number of failed runs of one task after which the job fails.
    pub attempts: u32,
    /// Priority of the jobs; 0 is the highest.
    pub priority: u32,
    /// Factor of the response time objective, which is `stretch` times the duration of the longest
    /// task plus `slack`.
    pub stretch: Permille,
    /// Constant part of the response time objective.
    pub slack: Millis,
}

/// All routes of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    version: id::Version,
    routes: HashMap<String, Vec<Route>>,
    max_body: Bytes,
}

impl Table {
    /// Makes a table. Among routes with the same host and prefix, the first wins.
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

    /// Returns the version, which rises with each change of the configuration.
    pub fn version(&self) -> id::Version {
        self.version
    }

    /// Returns the largest size of a request body.
    pub fn max_body(&self) -> Bytes {
        self.max_body
    }

    /// Returns the route of a host, in any case, whose prefix is the longest that matches the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes.get(host.to_ascii_lowercase().as_str())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}

/// Local copy of the newest route table that this process has received.
#[derive(Clone, Debug, Default)]
pub struct Replica(Option<Table>);

impl Replica {
    /// Makes a replica that has received no table yet.
    pub fn new() -> Self {
        Self(None)
    }

    /// Replaces the table by a newer one and returns true, or ignores an older or equal one.
    pub fn offer(&mut self, table: Table) -> bool {
        let is_newer = self.0.as_ref().is_none_or(|own| table.version > own.version);
        if is_newer {
            self.0 = Some(table);
        }
        is_newer
    }

    /// Returns the table in force; `None` until one was received.
    pub fn table(&self) -> Option<&Table> {
        self.0.as_ref()
    }
}
