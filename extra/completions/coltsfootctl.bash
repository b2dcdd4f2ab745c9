# Completions of coltsfootctl and coltsfootctl-platform for bash.

_coltsfootctl() {
    local current=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD - 1]}
    local commands="check apply get diff history explain status"
    local word command=""
    for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
        if [[ " $commands " == *" $word "* ]]; then
            command=$word
            break
        fi
    done
    if [[ $previous =~ ^--(file|log|base-tree)$ ]]; then
        mapfile -t COMPREPLY < <(compgen -f -- "$current")
        return
    fi
    local words
    case $command in
        "") words="$commands --platform --platform-timeout --base-tree --json --help --version" ;;
        check) words="--help" ;;
        apply) words="--branch --remove --base --note --author --wait --dry-run --help" ;;
        get) words="--at --help" ;;
        diff) words="--from --to --help" ;;
        history) words="--limit --help" ;;
        explain)
            words="--request-id --log --customer --method --host --path --model --header --at --file"
            words="$words --help"
            ;;
        status) words="--help" ;;
    esac
    mapfile -t COMPREPLY < <(compgen -W "$words" -- "$current")
    if [[ $current != -* && $command =~ ^(check|apply|diff)$ ]]; then
        local files
        mapfile -t files < <(compgen -f -- "$current")
        COMPREPLY+=("${files[@]}")
    fi
}

complete -o filenames -F _coltsfootctl coltsfootctl coltsfootctl-platform
