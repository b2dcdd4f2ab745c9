//! The customers, and the lookup of a customer by bearer key.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use coltsfootgate_core::ids::CustomerId;
use coltsfootgate_core::settings::CustomerSettings;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::check::FaultList;
use crate::document::BranchDocument;
use crate::error::ConfigFault;
use crate::resolve::SettingReader;
use crate::schema::ConfigSection;

/// The length of a SHA-256 digest in bytes.
const DIGEST_BYTES: usize = 32;
/// The length in bytes of the digest prefix that selects a bucket of entries.
///
/// Within a bucket, whole digests are compared in constant time.
const BUCKET_BYTES: usize = 8;

type KeyDigest = [u8; DIGEST_BYTES];

/// The customers, indexed by branch path and by the digests of their keys.
#[derive(Clone, Debug)]
pub(crate) struct CustomerIndex {
    anonymous: Arc<CustomerSettings>,
    customers: BTreeMap<CustomerId, Arc<CustomerSettings>>,
    by_digest: HashMap<[u8; BUCKET_BYTES], Vec<DigestEntry>>,
}

#[derive(Clone, Debug)]
struct DigestEntry {
    digest: KeyDigest,
    customer: Arc<CustomerSettings>,
}

impl CustomerIndex {
    /// Creates an index without customers.
    pub(crate) fn new(document: &BranchDocument) -> Self {
        let root = document.root(ConfigSection::Customers);
        Self {
            anonymous: Arc::new(SettingReader::new(document, root).customer()),
            customers: BTreeMap::new(),
            by_digest: HashMap::new(),
        }
    }

    /// Adds a branch if it is a customer, which has keys.
    pub(crate) fn add_branch(
        &mut self,
        document: &BranchDocument,
        position: usize,
        faults: &mut FaultList,
    ) {
        if document.nodes[position].setting("keys").is_some() {
            self.add(document, position, faults);
        }
    }

    /// Checks that there is at least one customer.
    pub(crate) fn check(&self, document: &BranchDocument, faults: &mut FaultList) {
        if self.customers.is_empty() {
            let root = &document.nodes[document.root(ConfigSection::Customers)];
            let allowed = "at least one customer, which is a branch with `keys`";
            faults.add_missing(root, "keys", allowed);
        }
    }

    /// The customer that a bearer key belongs to; the digests are compared in constant time.
    pub(crate) fn by_key(&self, key: &str) -> Option<&Arc<CustomerSettings>> {
        let digest: KeyDigest = Sha256::digest(key.as_bytes()).into();
        self.entry(&digest).map(|entry| &entry.customer)
    }

    /// The customer of requests without a key, with the settings of the section root.
    pub(crate) fn anonymous(&self) -> &Arc<CustomerSettings> {
        &self.anonymous
    }

    /// The customer with this branch path.
    pub(crate) fn customer(&self, id: &str) -> Option<&Arc<CustomerSettings>> {
        self.customers.get(id)
    }

    /// All customers, sorted by branch path.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Arc<CustomerSettings>> {
        self.customers.values()
    }

    fn entry(&self, digest: &KeyDigest) -> Option<&DigestEntry> {
        let bucket = self.by_digest.get(&bucket(digest))?;
        bucket.iter().find(|entry| entry.digest.ct_eq(digest).into())
    }

    fn add(&mut self, document: &BranchDocument, position: usize, faults: &mut FaultList) {
        let node = &document.nodes[position];
        let reader = SettingReader::new(document, position);
        let customer = Arc::new(reader.customer());
        for text in reader.texts("keys") {
            let Some(digest) = parse_digest(&text) else {
                continue;
            };
            if let (Some(entry), Some(setting)) = (self.entry(&digest), node.setting("keys")) {
                let (found, first) = (format!("digest {text:?}"), entry.customer.id.clone());
                faults.add_setting(node, setting, ConfigFault::Duplicate { found, first });
                continue;
            }
            let entry = DigestEntry { digest, customer: customer.clone() };
            self.by_digest.entry(bucket(&digest)).or_default().push(entry);
        }
        self.customers.insert(customer.id.clone(), customer);
    }
}

fn bucket(digest: &KeyDigest) -> [u8; BUCKET_BYTES] {
    std::array::from_fn(|position| digest[position])
}

fn parse_digest(text: &str) -> Option<KeyDigest> {
    if text.len() != DIGEST_BYTES * 2 || !text.is_ascii() {
        return None;
    }
    let mut digest = [0; DIGEST_BYTES];
    for (position, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[position * 2..position * 2 + 2], 16).ok()?;
    }
    Some(digest)
}
