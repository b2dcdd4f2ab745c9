//! Writes configuration trees of any size to the platform, in the same objects as `coltsfootctl`.

use std::fmt::Write;
use std::io;
use std::net::SocketAddr;

use coltsfootgate_config::{
    BranchDocument, HEAD_KEY, HeadObject, TreeParts, branch_key, content_digest, root_key,
};

use crate::control::blocking_call;

/// The model that all engines serve.
pub(super) const MODEL: &str = "measured";

/// The size and contents of a tree.
pub(super) struct TreeSize<'a> {
    pub(super) customers: usize,
    pub(super) engines: &'a [SocketAddr],
    pub(super) services: &'a [SocketAddr],
    /// Endpoints of a pool that receives no requests.
    pub(super) idle_endpoints: usize,
    /// Version of the tree; each version also differs in a setting of `classes`.
    pub(super) version: u64,
}

/// The bearer key of a customer.
pub(super) fn customer_key(index: usize) -> String {
    format!("slope-key-{index}")
}

impl TreeSize<'_> {
    fn text(&self) -> String {
        let mut text = format!(
            "[deployment]\nname = \"slopes\"\n[classes]\ntier = 3\nbetween_tokens = \"50 ms\"\n\
             queue_requests = {}\n\
             [classes.orders]\nmatch = {{ path = [\"/orders/*\"] }}\nrepeatable = false\n\
             [customers]\nrate = 100000.0\nburst = 10000\nconcurrency = 10000\n",
            1000 + self.version
        );
        for index in 0..self.customers {
            let digest = content_digest(customer_key(index).as_bytes());
            let _ = writeln!(text, "[customers.c{index}]\nkeys = [\"{digest}\"]");
        }
        text += &format!("[pools.model]\nmodel = \"{MODEL}\"\nslots = 8\nslots_max = 8\n");
        push_endpoints(&mut text, "model", self.engines.iter().map(ToString::to_string));
        text += "[pools.orders]\nservice = \"/orders/\"\nslots = 64\n";
        push_endpoints(&mut text, "orders", self.services.iter().map(ToString::to_string));
        if self.idle_endpoints > 0 {
            text += "[pools.idle]\nmodel = \"idle\"\n";
            let address = |index: usize| format!("127.1.{}.{}:9", index / 250, index % 250 + 1);
            push_endpoints(&mut text, "idle", (0..self.idle_endpoints).map(address));
        }
        text
    }

    /// Writes the branches and the root of the tree, then the head that puts the version in force.
    pub(super) fn put(&self, platform: SocketAddr) -> io::Result<()> {
        let invalid = |error: String| io::Error::other(format!("invalid generated tree: {error}"));
        let document = BranchDocument::parse("slopes", &self.text())
            .map_err(|errors| invalid(errors.to_string()))?;
        let parts = TreeParts::split(&document).map_err(|error| invalid(error.to_string()))?;
        for part in parts.iter() {
            put_value(platform, &branch_key(&part.digest), part.text.as_bytes(), 0)?;
        }
        let root = parts.root();
        put_value(platform, &root_key(&root.digest()), &root.to_bytes(), 0)?;
        let (version, nonce) = (self.version, format!("slopes-{}", self.version).into());
        let (author, note, written_at) = (None, None, None);
        let head = HeadObject { version, root: root.digest(), nonce, author, note, written_at };
        put_value(platform, HEAD_KEY, &head.to_bytes(), head_revision(platform)?)
    }
}

fn push_endpoints(text: &mut String, pool: &str, addresses: impl Iterator<Item = String>) {
    for (index, address) in addresses.enumerate() {
        let _ = writeln!(text, "[pools.{pool}.e{index}]\naddress = \"{address}\"\nzone = \"a\"");
    }
}

/// Writes a value if its key is at the given revision; 0 stands for a key that doesn't exist.
fn put_value(platform: SocketAddr, key: &str, value: &[u8], revision: u64) -> io::Result<()> {
    let path = format!("/kv/{key}?revision={revision}");
    let status = blocking_call(platform, "PUT", &path, value)?.status;
    // Keys other than the head contain the digest of their value, so a conflict means that the same
    // value is already stored.
    if status == 200 || (status == 409 && key != HEAD_KEY) {
        return Ok(());
    }
    Err(io::Error::other(format!("PUT {key} failed with status {status}")))
}

/// The revision of the head in the store, or 0 if there is none.
fn head_revision(platform: SocketAddr) -> io::Result<u64> {
    let answer = blocking_call(platform, "GET", &format!("/kv/{HEAD_KEY}"), b"")?;
    let head = answer.head.to_ascii_lowercase();
    let line = head.lines().find_map(|line| line.strip_prefix("x-revision:"));
    Ok(line.and_then(|revision| revision.trim().parse().ok()).unwrap_or(0))
}
