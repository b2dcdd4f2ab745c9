//! The flags, commands and arguments of the command line.

use gumdrop::Options;

/// Views and changes the settings tree of coltsfootgate.
#[derive(Clone, Debug, Default)]
#[derive(Options)]
pub struct ToolArguments {
    /// Prints help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Prints the version.
    #[options(no_short, help = "print the version of the tool")]
    pub version: bool,
    /// Address of the platform's service.
    #[options(no_short, meta = "IP:PORT", help = "address of the platform's service")]
    pub platform: Option<String>,
    /// Time limit of a call to the platform or an instance.
    #[options(
        no_short,
        meta = "TIME",
        help = "time limit of a call to the platform or an instance (2 s)"
    )]
    pub platform_timeout: Option<String>,
    /// File of a base settings tree, if operators set only a part of the settings.
    #[options(
        no_short,
        meta = "FILE",
        help = "base tree that operators' settings are added to (coltsfootctl-platform only)"
    )]
    pub base_tree: Option<String>,
    /// Prints JSON instead of text.
    #[options(no_short, help = "print JSON instead of text")]
    pub json: bool,
    /// The command.
    #[options(command)]
    pub command: Option<ToolCommand>,
}

/// The commands of the tool.
#[derive(Clone, Debug)]
#[derive(Options)]
pub enum ToolCommand {
    /// Validates tree files.
    #[options(help = "validate tree files without access to the store")]
    Check(CheckArguments),
    /// Stores a changed tree.
    #[options(
        help = "store a tree or one branch, and wait until it is in force on every live instance"
    )]
    Apply(ApplyArguments),
    /// Prints the tree or one branch.
    #[options(help = "print the tree or one branch")]
    Get(GetArguments),
    /// Shows the differences between two trees.
    #[options(
        help = "show the differences between two versions, or between the stored tree and a file"
    )]
    Diff(DiffArguments),
    /// Lists the versions of the tree.
    #[options(help = "list the versions of the tree, newest first")]
    History(HistoryArguments),
    /// Shows the settings that apply to a request.
    #[options(help = "show the settings that apply to a request, and the branch that sets each")]
    Explain(ExplainArguments),
    /// Shows the status of the instances.
    #[options(help = "show the instances, the versions in force, endpoints and queues")]
    Status(StatusArguments),
}

/// Finds every fault in tree files, without access to the store.
#[derive(Clone, Debug, Default)]
#[derive(Options)]
pub struct CheckArguments {
    /// Prints help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The tree files.
    #[options(free, required, help = "tree files, or - for standard input")]
    pub files: Vec<String>,
}

/// Stores a tree or one branch, and waits until it is in force on every live instance.
#[derive(Clone, Debug, Default)]
#[derive(Options)]
pub struct ApplyArguments {
    /// Prints help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The file with the tree or the branch.
    #[options(
        free,
        help = "file with the tree or, with --branch, the branch; - for standard input"
    )]
    pub file: Option<String>,
    /// The branch to replace.
    #[options(no_short, meta = "BRANCH", help = "replace only this branch and its descendants")]
    pub branch: Option<String>,
    /// The branch to remove.
    #[options(
        no_short,
        meta = "BRANCH",
        help = "remove this branch and its descendants; takes no file"
    )]
    pub remove: Option<String>,
    /// The version that the file is based on.
    #[options(
        no_short,
        meta = "VERSION",
        help = "version that was edited (default: the one in the first line of the file, else the current one)"
    )]
    pub base: Option<u64>,
    /// A note on the change.
    #[options(no_short, meta = "TEXT", help = "note on the change, for the history")]
    pub note: Option<String>,
    /// The author of the change.
    #[options(no_short, meta = "NAME", help = "author of the change ($USER)")]
    pub author: Option<String>,
    /// How long to wait for the change to come into force.
    #[options(
        no_short,
        meta = "TIME",
        help = "how long to wait for the change to come into force (15 s)"
    )]
    pub wait: Option<String>,
    /// Shows the changes without storing them.
    #[options(no_short, help = "show the changes without storing them")]
    pub dry_run: bool,
}

/// Prints the tree or one branch.
#[derive(Clone, Debug, Default)]
#[derive(Options)]
pub struct GetArguments {
    /// Prints help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The branch to print.
    #[options(free, help = "branch to print (the whole tree)")]
    pub branch: Option<String>,
    /// The version to print.
    #[options(no_short, meta = "VERSION", help = "version to print (the current one)")]
    pub at: Option<u64>,
}

/// Shows the differences between two versions, or between the stored tree and a file.
#[derive(Clone, Debug, Default)]
#[derive(Options)]
pub struct DiffArguments {
    /// Prints help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The file to compare the tree with.
    #[options(free, help = "tree file to compare the stored tree with")]
    pub file: Option<String>,
    /// The older version.
    #[options(
        no_short,
        meta = "VERSION",
        help = "older version (the one before --to, or with a file the current one)"
    )]
    pub from: Option<u64>,
    /// The newer version.
    #[options(no_short, meta = "VERSION", help = "newer version (the current one)")]
    pub to: Option<u64>,
}

/// Lists the versions of the tree, newest first.
#[derive(Clone, Debug, Default)]
#[derive(Options)]
pub struct HistoryArguments {
    /// Prints help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Maximum number of versions to list.
    #[options(no_short, meta = "COUNT", help = "maximum number of versions to list (20)")]
    pub limit: Option<u64>,
}

/// Shows the settings that apply to a request, and the branch that sets each value.
#[derive(Clone, Debug, Default)]
#[derive(Options)]
pub struct ExplainArguments {
    /// Prints help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The id of a past request, either the router's or the caller's.
    #[options(
        no_short,
        meta = "ID",
        help = "show why the request with this id was served, delayed or refused"
    )]
    pub request_id: Option<String>,
    /// Log files to search for the request.
    #[options(
        no_short,
        meta = "FILE",
        help = "log file to search for the request, instead of querying instances; may be repeated"
    )]
    pub log: Vec<String>,
    /// The customer of the described request.
    #[options(no_short, meta = "BRANCH", help = "customer of the described request")]
    pub customer: Option<String>,
    /// The HTTP method of the described request.
    #[options(no_short, meta = "METHOD", help = "HTTP method of the described request (POST)")]
    pub method: Option<String>,
    /// The path of the described request.
    #[options(
        no_short,
        meta = "PATH",
        help = "path of the described request (/v1/chat/completions)"
    )]
    pub path: Option<String>,
    /// The host of the described request.
    #[options(no_short, meta = "HOST", help = "host of the described request")]
    pub host: Option<String>,
    /// The model of the described request.
    #[options(no_short, meta = "MODEL", help = "model of the described request")]
    pub model: Option<String>,
    /// The headers of the described request.
    #[options(
        no_short,
        meta = "NAME:VALUE",
        help = "header of the described request; may be repeated"
    )]
    pub header: Vec<String>,
    /// The version of the tree.
    #[options(no_short, meta = "VERSION", help = "version of the tree (the current one)")]
    pub at: Option<u64>,
    /// The tree file.
    #[options(no_short, meta = "FILE", help = "tree file to use instead of the stored tree")]
    pub file: Option<String>,
}

/// Shows the instances, the versions in force, endpoints and queues.
#[derive(Clone, Debug, Default)]
#[derive(Options)]
pub struct StatusArguments {
    /// Prints help.
    #[options(help = "print this help")]
    pub help: bool,
}
