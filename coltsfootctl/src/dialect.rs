//! The differences between the platforms that the tool supports.

use std::net::SocketAddr;

use error_stack::Report;

use coltsfootgate::platform::{HttpPlatform, InstanceDirectory, PlatformStore};
use coltsfootgate_config::{ConfigErrors, ConfigTree};

use crate::error::{ToolError, ToolResult};
use crate::settings::ToolSettings;

/// The behavior of the tool that depends on the platform.
pub trait ToolDialect: 'static {
    /// The name of the program in messages.
    const NAME: &'static str;
    /// Whether the tool writes trees to the store, which then also keeps past versions.
    const KEEPS_TREES: bool;
    /// Number of pools that [`check`](Self::check) adds to the tree but that the file lacks.
    const PLACEHOLDER_POOLS: usize;

    /// The client of the platform's store and instance list.
    type Platform: PlatformStore + InstanceDirectory;

    /// Creates a client of the platform at an address.
    ///
    /// # Errors
    ///
    /// Fails if a setting is missing or not supported, or if a file that it names cannot be read.
    fn platform(settings: &ToolSettings, address: SocketAddr) -> ToolResult<Self::Platform>;

    /// Validates the text of a tree file; `source` is its name in errors.
    ///
    /// # Errors
    ///
    /// Fails with every fault in the file, with its line.
    fn check(source: &str, text: &str) -> Result<ConfigTree, ConfigErrors>;
}

/// The tool for platforms whose store contains whole trees.
#[derive(Debug)]
pub struct NativeTool;

impl ToolDialect for NativeTool {
    const NAME: &'static str = "coltsfootctl";
    const KEEPS_TREES: bool = true;
    const PLACEHOLDER_POOLS: usize = 0;

    type Platform = HttpPlatform;

    fn platform(settings: &ToolSettings, address: SocketAddr) -> ToolResult<HttpPlatform> {
        if settings.base_tree.is_some() {
            let message =
                "--base-tree is not supported: this platform's store contains whole trees";
            return Err(Report::new(ToolError::Usage(message.into())));
        }
        Ok(HttpPlatform::new(address, settings.timeout))
    }

    fn check(source: &str, text: &str) -> Result<ConfigTree, ConfigErrors> {
        ConfigTree::parse(source, text)
    }
}
