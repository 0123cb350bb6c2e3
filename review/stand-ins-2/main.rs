//! The stand-ins and drivers of the cases of `review/6` to `review/10`: `stand-ins CASE ROOT FOLDER RECORD`.
//! `review/build-2.sh` builds it.

mod base;
mod behind;
mod dns;
mod drained;
mod labels;
mod memory;
mod pieces;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let Some((name, rest)) = args.split_first() else {
        base::cannot_run("CASE ROOT FOLDER RECORD are wanted")
    };
    let case = base::Case::new(rest);
    match name.as_str() {
        "behind" => behind::run(&case),
        "drained" => drained::run(case),
        "labels" => labels::run(&case),
        "memory" => memory::run(&case),
        "pieces" => pieces::run(&case),
        _ => base::cannot_run("no such case"),
    }
}
