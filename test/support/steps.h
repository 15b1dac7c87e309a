// Random interleavings as a RapidCheck state machine: each command performs one numbered step on a world of several
// nodes, then checks the world's invariants. Shrinking removes the steps that a failure does not need.
#pragma once

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <ostream>

namespace waxwinglug::test {

struct NoModel { };

// World::step(kind, node, pick) performs a step, World::check() asserts the invariants with RC_ASSERT, and
// World::kinds and World::nodes bound the numbers.
template <typename World> struct Step : rc::state::Command<NoModel, World> {
    int kind = *rc::gen::inRange(0, World::kinds);
    int node = *rc::gen::inRange(0, World::nodes);
    unsigned pick = *rc::gen::inRange(0U, 1000U);

    void run(const NoModel&, World& world) const override
    {
        world.step(this->kind, this->node, this->pick);
        world.check();
    }

    void show(std::ostream& out) const override
    {
        out << "step(" << this->kind << ", " << this->node << ", " << this->pick << ")";
    }
};

template <typename World> void checkSteps()
{
    World world;
    rc::state::check(NoModel {}, world, rc::state::gen::execOneOfWithArgs<Step<World>>());
    world.finish();
}

} // namespace waxwinglug::test
