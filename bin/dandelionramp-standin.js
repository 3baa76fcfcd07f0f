#!/usr/bin/env node
import { runProgram } from "../dist/commands/program.js";

await runProgram("dandelionramp-standin", {
    strategy: "explicit",
    target: "./dist/commands/standin/index.js",
    identifier: "commands",
});
