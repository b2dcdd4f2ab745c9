//! The command line.

use gumdrop::Options;

/// Drives coltsfootgate by its tree of settings.
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
    /// Time limit of one call.
    #[options(no_short, meta = "TIME", help = "time limit of each call (2 s)")]
    pub platform_timeout: Option<String>,
    /// The project's own tree.
    #[options(
        no_short,
        meta = "FILE",
        help = "the project's own tree, on a platform that adds to it"
    )]
    pub base_tree: Option<String>,
    /// Prints JSON.
    #[options(no_short, help = "print JSON")]
    pub json: bool,
    /// The command.
    #[options(command)]
    pub command: Option<ToolCommand>,
}

/// The commands.
#[derive(Clone, Debug)]
#[derive(Options)]
pub enum ToolCommand {
    /// Checks files.
    #[options(help = "check tree files without touching the store")]
    Check(CheckArguments),
    /// Changes the tree.
    #[options(help = "store a tree or one branch, and wait until it is in force everywhere")]
    Apply(ApplyArguments),
    /// Prints the tree.
    #[options(help = "print the tree or one branch")]
    Get(GetArguments),
    /// Compares trees.
    #[options(help = "show what differs between versions, or between the tree and a file")]
    Diff(DiffArguments),
    /// Lists versions.
    #[options(help = "list versions, the newest first")]
    History(HistoryArguments),
    /// Explains decisions.
    #[options(help = "explain what holds for a request, and which branch set it")]
    Explain(ExplainArguments),
    /// Shows instances.
    #[options(help = "show the instances and the versions in force")]
    Status(StatusArguments),
}

/// Finds every fault of tree files, without touching the store.
#[derive(Clone, Debug, Default)]
#[derive(Options)]
pub struct CheckArguments {
    /// Prints help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The files.
    #[options(free, required, help = "tree files; - reads standard input")]
    pub files: Vec<String>,
}

/// Stores a tree or one branch, and waits until it is in force on every live instance.
#[derive(Clone, Debug, Default)]
#[derive(Options)]
pub struct ApplyArguments {
    /// Prints help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The file.
    #[options(free, help = "the tree file, or with --branch the branch; - reads standard input")]
    pub file: Option<String>,
    /// The branch to replace.
    #[options(no_short, meta = "BRANCH", help = "replace only this branch, and all below it")]
    pub branch: Option<String>,
    /// The branch to remove.
    #[options(no_short, meta = "BRANCH", help = "remove this branch, and all below it")]
    pub remove: Option<String>,
    /// The version that the file was made from.
    #[options(
        no_short,
        meta = "VERSION",
        help = "the version that was edited (the first line of `get`, or else the present one)"
    )]
    pub base: Option<u64>,
    /// Why the change is made.
    #[options(no_short, meta = "TEXT", help = "why the change is made, for the history")]
    pub note: Option<String>,
    /// Who makes the change.
    #[options(no_short, meta = "NAME", help = "who makes the change ($USER)")]
    pub author: Option<String>,
    /// How long to wait.
    #[options(no_short, meta = "TIME", help = "how long to wait until it is in force (15 s)")]
    pub wait: Option<String>,
    /// Shows the change without storing it.
    #[options(no_short, help = "show what would change, and store nothing")]
    pub dry_run: bool,
}

/// Prints the tree or one branch.
#[derive(Clone, Debug, Default)]
#[derive(Options)]
pub struct GetArguments {
    /// Prints help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The branch.
    #[options(free, help = "the branch (the whole tree)")]
    pub branch: Option<String>,
    /// The version.
    #[options(no_short, meta = "VERSION", help = "a past version (the present one)")]
    pub at: Option<u64>,
}

/// Shows what differs between two versions, or between the tree and a file.
#[derive(Clone, Debug, Default)]
#[derive(Options)]
pub struct DiffArguments {
    /// Prints help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The file.
    #[options(free, help = "a tree file to compare the tree with")]
    pub file: Option<String>,
    /// The older version.
    #[options(no_short, meta = "VERSION", help = "the version before (the one before --to)")]
    pub from: Option<u64>,
    /// The newer version.
    #[options(no_short, meta = "VERSION", help = "the version after (the present one)")]
    pub to: Option<u64>,
}

/// Lists versions, the newest first.
#[derive(Clone, Debug, Default)]
#[derive(Options)]
pub struct HistoryArguments {
    /// Prints help.
    #[options(help = "print this help")]
    pub help: bool,
    /// How many versions.
    #[options(no_short, meta = "COUNT", help = "how many versions to list (20)")]
    pub limit: Option<u64>,
}

/// Says what holds for a request, and which branch set each value.
#[derive(Clone, Debug, Default)]
#[derive(Options)]
pub struct ExplainArguments {
    /// Prints help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The request that was made.
    #[options(no_short, meta = "ID", help = "why this request was served, delayed or refused")]
    pub request_id: Option<String>,
    /// Log files to look in.
    #[options(
        no_short,
        meta = "FILE",
        help = "look in this log file for the request; may be repeated"
    )]
    pub log: Vec<String>,
    /// The customer.
    #[options(no_short, meta = "BRANCH", help = "the customer of the described request")]
    pub customer: Option<String>,
    /// The method.
    #[options(no_short, meta = "METHOD", help = "its method (POST)")]
    pub method: Option<String>,
    /// The path.
    #[options(no_short, meta = "PATH", help = "its path (/v1/chat/completions)")]
    pub path: Option<String>,
    /// The host.
    #[options(no_short, meta = "HOST", help = "the host that it is addressed to")]
    pub host: Option<String>,
    /// The model.
    #[options(no_short, meta = "MODEL", help = "the model that it names")]
    pub model: Option<String>,
    /// The headers.
    #[options(no_short, meta = "NAME:VALUE", help = "a header; may be repeated")]
    pub header: Vec<String>,
    /// The version.
    #[options(no_short, meta = "VERSION", help = "a past version (the present one)")]
    pub at: Option<u64>,
    /// The file.
    #[options(no_short, meta = "FILE", help = "a tree file in place of the stored tree")]
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
