//! Prints the run number of an instance that holds credit, from the output of `budgets --json` on standard input:
//! `holder_run INSTANCE`.

use coltsfootpick_wire::operators::BudgetView;
use eyre::OptionExt;

fn main() -> eyre::Result<()> {
    let instance = std::env::args().nth(1).ok_or_eyre("INSTANCE is required")?;
    let budgets: Vec<BudgetView> = serde_json::from_reader(std::io::stdin())?;
    let mut holdings = budgets.iter().flat_map(|budget| &budget.holdings);
    if let Some(holding) = holdings.find(|holding| holding.instance == instance) {
        println!("{}", holding.run);
    }
    Ok(())
}
