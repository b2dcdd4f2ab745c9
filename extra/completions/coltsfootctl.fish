# Completions of coltsfootctl for fish.

set -l commands check apply get diff history explain status
set -l none "not __fish_seen_subcommand_from $commands"

complete -c coltsfootctl -n $none -f
complete -c coltsfootctl -n $none -l platform -x -d "address of the platform's service"
complete -c coltsfootctl -n $none -l platform-timeout -x -d "time limit of a call to the platform or an instance"
complete -c coltsfootctl -n $none -l base-tree -r -d "base tree that operators' settings are added to"
complete -c coltsfootctl -n $none -l json -d "print JSON instead of text"
complete -c coltsfootctl -n $none -l version -d "print the version of the tool"
complete -c coltsfootctl -s h -l help -d "print help"

complete -c coltsfootctl -n $none -a check -d "validate tree files"
complete -c coltsfootctl -n $none -a apply -d "store a tree or one branch"
complete -c coltsfootctl -n $none -a get -d "print the tree or one branch"
complete -c coltsfootctl -n $none -a diff -d "show the differences between trees"
complete -c coltsfootctl -n $none -a history -d "list the versions of the tree"
complete -c coltsfootctl -n $none -a explain -d "show the settings that apply to a request"
complete -c coltsfootctl -n $none -a status -d "show the instances, endpoints and queues"

set -l apply "__fish_seen_subcommand_from apply"
complete -c coltsfootctl -n $apply -l branch -x -d "replace only this branch and its descendants"
complete -c coltsfootctl -n $apply -l remove -x -d "remove this branch and its descendants"
complete -c coltsfootctl -n $apply -l base -x -d "version that was edited"
complete -c coltsfootctl -n $apply -l note -x -d "note on the change"
complete -c coltsfootctl -n $apply -l author -x -d "author of the change"
complete -c coltsfootctl -n $apply -l wait -x -d "how long to wait for the change to come into force"
complete -c coltsfootctl -n $apply -l dry-run -d "show the changes without storing them"

complete -c coltsfootctl -n "__fish_seen_subcommand_from get explain" -l at -x -d "version of the tree"
complete -c coltsfootctl -n "__fish_seen_subcommand_from diff" -l from -x -d "older version"
complete -c coltsfootctl -n "__fish_seen_subcommand_from diff" -l to -x -d "newer version"
complete -c coltsfootctl -n "__fish_seen_subcommand_from history" -l limit -x -d "maximum number of versions to list"

set -l explain "__fish_seen_subcommand_from explain"
complete -c coltsfootctl -n $explain -l request-id -x -d "id of a past request"
complete -c coltsfootctl -n $explain -l log -r -d "log file to search for the request"
complete -c coltsfootctl -n $explain -l host -x -d "host of the described request"
complete -c coltsfootctl -n $explain -l customer -x -d "customer of the described request"
complete -c coltsfootctl -n $explain -l method -x -d "HTTP method of the described request"
complete -c coltsfootctl -n $explain -l path -x -d "path of the described request"
complete -c coltsfootctl -n $explain -l model -x -d "model of the described request"
complete -c coltsfootctl -n $explain -l header -x -d "header of the described request, NAME:VALUE"
complete -c coltsfootctl -n $explain -l file -r -d "tree file to use instead of the stored tree"

complete -c coltsfootctl-platform -w coltsfootctl
