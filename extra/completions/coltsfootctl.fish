# Completions of coltsfootctl for fish.

set -l commands check apply get diff history explain status
set -l none "not __fish_seen_subcommand_from $commands"

complete -c coltsfootctl -n $none -f
complete -c coltsfootctl -n $none -l platform -x -d "address of the platform's service"
complete -c coltsfootctl -n $none -l platform-timeout -x -d "time limit of each call"
complete -c coltsfootctl -n $none -l base-tree -r -d "the project's own tree"
complete -c coltsfootctl -n $none -l json -d "print JSON"
complete -c coltsfootctl -n $none -l version -d "print the version of the tool"
complete -c coltsfootctl -s h -l help -d "print help"

complete -c coltsfootctl -n $none -a check -d "check tree files"
complete -c coltsfootctl -n $none -a apply -d "store a tree or one branch"
complete -c coltsfootctl -n $none -a get -d "print the tree or one branch"
complete -c coltsfootctl -n $none -a diff -d "show what differs"
complete -c coltsfootctl -n $none -a history -d "list versions"
complete -c coltsfootctl -n $none -a explain -d "explain what holds for a request"
complete -c coltsfootctl -n $none -a status -d "show the instances"

set -l apply "__fish_seen_subcommand_from apply"
complete -c coltsfootctl -n $apply -l branch -x -d "replace only this branch"
complete -c coltsfootctl -n $apply -l remove -x -d "remove this branch"
complete -c coltsfootctl -n $apply -l base -x -d "the version that was edited"
complete -c coltsfootctl -n $apply -l note -x -d "why the change is made"
complete -c coltsfootctl -n $apply -l author -x -d "who makes the change"
complete -c coltsfootctl -n $apply -l wait -x -d "how long to wait"
complete -c coltsfootctl -n $apply -l dry-run -d "store nothing"

complete -c coltsfootctl -n "__fish_seen_subcommand_from get explain" -l at -x -d "a past version"
complete -c coltsfootctl -n "__fish_seen_subcommand_from diff" -l from -x -d "the version before"
complete -c coltsfootctl -n "__fish_seen_subcommand_from diff" -l to -x -d "the version after"
complete -c coltsfootctl -n "__fish_seen_subcommand_from history" -l limit -x -d "how many versions"

set -l explain "__fish_seen_subcommand_from explain"
complete -c coltsfootctl -n $explain -l request-id -x -d "a request that was made"
complete -c coltsfootctl -n $explain -l log -r -d "a log file to look in"
complete -c coltsfootctl -n $explain -l host -x -d "the host"
complete -c coltsfootctl -n $explain -l customer -x -d "the customer"
complete -c coltsfootctl -n $explain -l method -x -d "the method"
complete -c coltsfootctl -n $explain -l path -x -d "the path"
complete -c coltsfootctl -n $explain -l model -x -d "the model"
complete -c coltsfootctl -n $explain -l header -x -d "a header, NAME:VALUE"
complete -c coltsfootctl -n $explain -l file -r -d "a tree file"

complete -c coltsfootctl-platform -w coltsfootctl
