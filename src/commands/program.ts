/** Runs the package's programs through oclif. Each program has its own commands. */
import { Command, execute } from "@oclif/core";
import { createRequire } from "node:module";
import { fileURLToPath } from "node:url";
import { SettingsError } from "../internal.js";

/** Exit code for invalid settings and flags. */
export const usageExitCode = 2;

const packageRoot = fileURLToPath(new URL("../..", import.meta.url));

/** Where oclif finds the commands of a program. */
export type ProgramCommands =
    | { strategy: "single"; target: string; }
    | { strategy: "explicit"; target: string; identifier: string; };

/** Runs the program `bin` with the command-line arguments of the process. */
export const runProgram = async (bin: string, commands: ProgramCommands): Promise<void> => {
    const manifest = createRequire(import.meta.url)("../../package.json") as Record<string, unknown>;
    const pjson = { ...manifest, oclif: { bin, commands, topicSeparator: " " } };
    await execute({
        dir: packageRoot,
        args: process.argv.slice(2),
        loadOptions: { root: packageRoot, pjson: pjson as never },
    });
};

/** Base class of all commands. Reports a `SettingsError` as one line on standard error, with exit code 2. */
export abstract class ProgramCommand extends Command {
    protected override async catch(error: Error & { exitCode?: number; }): Promise<unknown> {
        if (error instanceof SettingsError) {
            process.stderr.write(`${error.message}\n`);
            return this.exit(usageExitCode);
        }
        return super.catch(error);
    }
}

/** Resolves at the first SIGTERM or SIGINT. Further ones don't end the process either, so that its drain cuts no request. */
export const waitForStopSignal = (): Promise<void> =>
    new Promise(resolve => {
        process.on("SIGTERM", () => resolve());
        process.on("SIGINT", () => resolve());
    });
