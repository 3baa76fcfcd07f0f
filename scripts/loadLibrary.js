// The load tool's functions, from the build.
export { systemClock } from "../dist/index.js";
export { runExperiment } from "../dist/load/experiment.js";
export { summarize } from "../dist/load/report.js";
