//! What differs between the platforms that the tool works with.

use std::net::SocketAddr;

use error_stack::Report;

use coltsfootgate::platform::{HttpPlatform, InstanceDirectory, PlatformStore};
use coltsfootgate_config::{ConfigErrors, ConfigTree};

use crate::error::{ToolError, ToolResult};
use crate::settings::ToolSettings;

/// How the tool meets one kind of platform.
pub trait ToolDialect: 'static {
    /// The name of the program, for messages.
    const NAME: &'static str;
    /// Whether the store keeps trees that the tool writes, and the versions before.
    const KEEPS_TREES: bool;
    /// Pools that a check adds to those of the checked file.
    const PLACEHOLDER_POOLS: usize;

    /// The platform's store and list of instances.
    type Platform: PlatformStore + InstanceDirectory;

    /// Makes an adapter for the platform at an address.
    ///
    /// # Errors
    ///
    /// Names the setting that is missing or has no meaning here.
    fn platform(settings: &ToolSettings, address: SocketAddr) -> ToolResult<Self::Platform>;

    /// Checks a tree file, which `source` names in errors.
    ///
    /// # Errors
    ///
    /// Gives every fault with its line.
    fn check(source: &str, text: &str) -> Result<ConfigTree, ConfigErrors>;
}

/// A platform whose store keeps whole trees.
#[derive(Debug)]
pub struct NativeTool;

impl ToolDialect for NativeTool {
    const NAME: &'static str = "coltsfootctl";
    const KEEPS_TREES: bool = true;
    const PLACEHOLDER_POOLS: usize = 0;

    type Platform = HttpPlatform;

    fn platform(settings: &ToolSettings, address: SocketAddr) -> ToolResult<HttpPlatform> {
        if settings.base_tree.is_some() {
            let message = "--base-tree has no meaning here: the store keeps whole trees";
            return Err(Report::new(ToolError::Usage(message.into())));
        }
        Ok(HttpPlatform::new(address, settings.timeout))
    }

    fn check(source: &str, text: &str) -> Result<ConfigTree, ConfigErrors> {
        ConfigTree::parse(source, text)
    }
}
