//! Transactional table of the stand-in platform.

use std::collections::BTreeMap;
use verbenapass_proto::platform::{Committed, Row, Transaction};

/// Rows by key. A deleted row stays without a value, so that its version never restarts.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: BTreeMap<String, Row>,
}

impl Table {
    /// Returns the row of a key; without a value if it was deleted, with version 0 if it never existed.
    pub fn row(&self, key: &str) -> Row {
        self.rows.get(key).cloned().unwrap_or_else(|| Row {
            key: key.into(),
            version: 0,
            value: None,
        })
    }

    /// Returns the rows with a value whose keys start with `prefix`, sorted by key.
    pub fn scan(&self, prefix: &str) -> Vec<Row> {
        self.rows
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, row)| row.value.is_some())
            .map(|(_, row)| row.clone())
            .collect()
    }

    /// Applies all writes if all conditions hold, otherwise none. The answer has the written rows
    /// without values, or the rows whose conditions failed.
    pub fn transact(&mut self, transaction: Transaction) -> Committed {
        let failed: Vec<Row> = transaction
            .conditions
            .iter()
            .map(|condition| (condition.version, self.row(&condition.key)))
            .filter(|(version, row)| *version != row.version)
            .map(|(_, row)| row)
            .collect();
        if !failed.is_empty() {
            return Committed { committed: false, rows: failed };
        }
        let rows = transaction
            .writes
            .into_iter()
            .map(|write| {
                let version = self.row(&write.key).version + 1;
                let row = Row { key: write.key.clone(), version, value: write.value };
                let written = Row { value: None, ..row.clone() };
                self.rows.insert(write.key, row);
                written
            })
            .collect();
        Committed { committed: true, rows }
    }
}
