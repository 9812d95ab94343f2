import { benchLog } from "./log_bench.ts";

// Bundled like a daemon on the users' platform, as the log's library is not loaded otherwise.
void benchLog().then((report) => console.log(JSON.stringify(report)));
