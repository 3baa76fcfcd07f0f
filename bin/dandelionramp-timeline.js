#!/usr/bin/env node
import { runProgram } from "../dist/commands/program.js";

await runProgram("dandelionramp-timeline", { strategy: "single", target: "./dist/commands/timeline.js" });
