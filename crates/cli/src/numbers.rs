//! `lotussaddle numbers`: what tables would do, without an edge proxy.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use anyhow::{Context, Result, anyhow, bail};
use clap::Subcommand;
use lotussaddle_numbers::{Analysis, Digits, Step, Tables, Timestamp};
use lotussaddle_serve::{EdgeSheet, read_generation};

use crate::Failed;

#[derive(Subcommand)]
pub enum NumbersCommand {
    /// Reads a generation of tables as an edge proxy would and tells all its mistakes.
    Check {
        /// The edge proxy's sheet: it names the folder, the trunk groups, the products and the tenants.
        edge: PathBuf,
        /// The generation; none: the one that is in force at the start.
        generation: Option<String>,
    },
    /// Analyses a number step by step.
    Explain {
        number: String,
        #[arg(long)]
        edge: PathBuf,
        #[arg(long)]
        generation: Option<String>,
        #[arg(long)]
        tenant: Option<String>,
        /// When: "2026-12-31T23:59:59+01:00[Europe/Berlin]" or "2026-12-31T22:59:59Z"; none: now.
        #[arg(long)]
        at: Option<String>,
        /// What a look-up says: a routing number such as +499912, "not" or "unanswered".
        #[arg(long, default_value = "not")]
        moved: String,
        /// Stands for the caller where a way shares out.
        #[arg(long, default_value_t = 0)]
        lot: u64,
    },
}

type Found = Result<Arc<Tables>, String>;

fn load(edge: &Path, name: Option<String>) -> Result<(EdgeSheet, String, Found)> {
    let sheet = EdgeSheet::load(edge)?;
    let numbers = sheet.numbers.as_ref().with_context(|| format!("{}: it has no numbers", edge.display()))?;
    let name = name.or(numbers.start.clone());
    let name = name
        .with_context(|| format!("{}: no generation is in force at the start; name one", edge.display()))?;
    let found = read_generation(&numbers.folder, &name, &sheet.plan.known(), &[]);
    Ok((sheet, name, found))
}

pub fn run(command: NumbersCommand) -> Result<()> {
    match command {
        NumbersCommand::Check { edge, generation } => {
            let (_, name, found) = load(&edge, generation)?;
            match found {
                Ok(tables) => {
                    println!("{name}: {} prefixes, {} ways, no mistake", tables.len(), tables.ways());
                    Ok(())
                }
                Err(mistakes) => {
                    eprintln!("{mistakes}");
                    Err(Failed.into())
                }
            }
        }
        NumbersCommand::Explain { number, edge, generation, tenant, at, moved, lot } => {
            let (sheet, name, found) = load(&edge, generation)?;
            let tables = found.map_err(|mistakes| anyhow!("{mistakes}"))?;
            let at = match at {
                None => Timestamp::now(),
                Some(text) => {
                    lotussaddle_numbers::instant(&text).with_context(|| format!("{text:?} is no time"))?
                }
            };
            let known = sheet.plan.known();
            let tenant = tenant.map(|tenant| {
                let place = known.tenants.iter().position(|known| *known == tenant);
                place.map(|place| place as u16).with_context(|| format!("no tenant {tenant}"))
            });
            let said = match moved.as_str() {
                "not" => Some(None),
                "unanswered" => None,
                routing => match Digits::parse(routing) {
                    Ok(digits) if digits.is_international() => Some(Some(digits)),
                    _ => {
                        bail!("--moved wants a routing number that begins with +, \"not\" or \"unanswered\"")
                    }
                },
            };
            let (mut analysis, mut step) =
                Analysis::begin(tables, tenant.transpose()?, &number, at, lot, true);
            println!("generation {name}, at {at}");
            if let Step::Ask { .. } = step {
                step = match said {
                    Some(routing) => analysis.told(routing),
                    None => analysis.gives_up(),
                };
            }
            analysis.trace().iter().for_each(|line| println!("  {line}"));
            match step {
                Step::Route(route) => {
                    let product = route
                        .product
                        .map_or("as the caller says".into(), |p| known.products[usize::from(p)].clone());
                    let group = &known.groups[usize::from(route.group)];
                    let first = route.first.map_or("as the caller says".into(), |first| first.to_string());
                    let width = route.width.map_or("as the caller says".into(), |width| width.to_string());
                    println!(
                        "trunk group {} (core servers {:?}), product {product}, first choice {first}, width {width}",
                        group.name, group.cores
                    );
                    let routing =
                        route.routing.map_or(String::new(), |routing| format!(", routing number {routing}"));
                    println!("dialled on as {}{routing}", route.number);
                    Ok(())
                }
                Step::Refuse(why) => {
                    println!("refused: {why}");
                    Ok(())
                }
                Step::Ask { .. } => bail!("a second look-up, which no analysis makes"),
            }
        }
    }
}
