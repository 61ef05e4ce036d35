//! Shell completions, generated from the lists of commands and options.

use crate::args::{COMMANDS, LONG_OPTIONS, Shell};

/// Returns the completion script for `shell`, which completes commands and options.
pub fn render_completions(shell: Shell) -> String {
    match shell {
        Shell::Bash => bash_script(),
        Shell::Zsh => zsh_script(),
        Shell::Fish => fish_script(),
    }
}

fn long_options() -> Vec<String> {
    LONG_OPTIONS.iter().map(|(name, _)| format!("--{name}")).collect()
}

fn bash_script() -> String {
    let words = format!("{} {}", COMMANDS.join(" "), long_options().join(" "));
    format!(
        "_coltsfootpick() {{\n    local word=\"${{COMP_WORDS[COMP_CWORD]}}\"\n    \
         COMPREPLY=($(compgen -W \"{words}\" -f -- \"$word\"))\n}}\ncomplete -F _coltsfootpick coltsfootpick\n"
    )
}

fn zsh_script() -> String {
    let options: Vec<String> = LONG_OPTIONS
        .iter()
        .map(|(name, has_value)| if *has_value { format!("'--{name}=:value:'") } else { format!("'--{name}'") })
        .collect();
    format!(
        "#compdef coltsfootpick\n_arguments {} '1:command:({})' '*:argument:_files'\n",
        options.join(" "),
        COMMANDS.join(" ")
    )
}

fn fish_script() -> String {
    let commands = COMMANDS.join(" ");
    let subcommand_line = format!("complete -c coltsfootpick -n __fish_use_subcommand -a '{commands}'\n");
    LONG_OPTIONS.iter().fold(subcommand_line, |script, (name, has_value)| {
        let flag = if *has_value { " -r" } else { "" };
        script + "complete -c coltsfootpick -l " + name + flag + "\n"
    })
}
